// Buffers of one size, used again from a pool, and chains of them. No I/O here.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/payload.h"
#include "metrics/counters.h"

namespace orchidgw::net {

inline constexpr std::size_t kBufferBytes = 8192;  // a page of 6,000 bytes with its headers fits

inline constexpr std::size_t kMaxSpareBuffers = 16;  // free buffers kept beyond as many as are in use

using Block = std::array<char, kBufferBytes>;

class BufferPool {
 public:
  BufferPool(std::size_t max_buffers, metrics::Counters& counters)
      : max_buffers_(max_buffers), counters_(counters) {}

  // Always gives a block: what is begun can be finished. Whoever reads or accepts asks `low` before.
  std::unique_ptr<Block> acquire();
  void release(std::unique_ptr<Block> block);

  // Too few are left to begin anything new: stop reading and accepting.
  bool low() const { return in_use_ + reserve() >= max_buffers_; }
  // What was begun has taken half as much again: whoever holds most of it has to go.
  bool over_limit() const { return in_use_ > max_buffers_ + max_buffers_ / 2; }
  std::size_t in_use() const { return in_use_; }
  std::size_t free_count() const { return free_.size(); }

 private:
  std::size_t reserve() const { return max_buffers_ / 8; }
  std::size_t max_buffers_;
  std::size_t in_use_ = 0;
  std::vector<std::unique_ptr<Block>> free_;
  metrics::Counters& counters_;
};

// Bytes in a row of pooled buffers: filled at the end, drained at the front.
class BufferChain {
 public:
  explicit BufferChain(BufferPool& pool) : pool_(&pool) {}
  BufferChain(BufferChain&& other) noexcept;
  BufferChain& operator=(BufferChain&& other) noexcept;
  BufferChain(const BufferChain&) = delete;
  BufferChain& operator=(const BufferChain&) = delete;
  ~BufferChain() { clear(); }

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

  void append(std::string_view bytes);
  void append(BufferChain&& other);  // takes the other's buffers over
  std::span<char> room();            // free space at the end, never empty
  void commit(std::size_t bytes);    // so much of it was written

  std::string_view front() const;   // the first stretch; empty if the chain is
  void consume(std::size_t bytes);  // from the front
  void clear();
  std::string text() const;  // a copy of all

 private:
  struct Link {
    std::unique_ptr<Block> block;
    std::size_t begin = 0;
    std::size_t end = 0;
  };
  BufferPool* pool_;
  std::deque<Link> links_;
  std::size_t size_ = 0;
};

// A page of rows as it passes through the core.
class ChainPayload final : public core::Payload {
 public:
  explicit ChainPayload(BufferChain chain) : chain_(std::move(chain)) {}
  std::size_t size() const override { return chain_.size(); }
  BufferChain& chain() { return chain_; }

 private:
  BufferChain chain_;
};

}  // namespace orchidgw::net
