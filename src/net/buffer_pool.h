// A pool of reusable buffers of one size, and byte queues (chains) made of them. No I/O.
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

inline constexpr std::size_t kBufferBytes = 8192;  // fits a page of 6,000 bytes with its headers

inline constexpr std::size_t kMaxSpareBuffers = 16;  // free buffers kept in excess of the number in use

using Block = std::array<char, kBufferBytes>;

class BufferPool {
 public:
  // `max_buffers` is a soft limit, see low() and over_limit().
  BufferPool(std::size_t max_buffers, metrics::Counters& counters)
      : max_buffers_(max_buffers), counters_(counters) {}

  // Always gives a block, so that work in progress can be finished. Callers that read or accept new work
  // check low() first.
  std::unique_ptr<Block> acquire();
  void release(std::unique_ptr<Block> block);

  // Too few buffers are left for new work: reading and accepting have to stop.
  bool low() const { return in_use_ + reserve() >= max_buffers_; }
  // Work in progress uses more than one and a half times the limit: the client that holds most of it has to
  // be closed.
  bool over_limit() const { return in_use_ > max_buffers_ + max_buffers_ / 2; }
  std::size_t in_use() const { return in_use_; }
  std::size_t free_count() const { return free_.size(); }

 private:
  // Kept for work in progress.
  std::size_t reserve() const { return max_buffers_ / 8; }
  std::size_t max_buffers_;
  std::size_t in_use_ = 0;
  std::vector<std::unique_ptr<Block>> free_;
  metrics::Counters& counters_;
};

// A queue of bytes in pooled buffers: filled at the end, drained at the front. Gives its buffers back to the
// pool.
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
  void append(BufferChain&& other);  // moves the other's buffers here, without a copy
  std::span<char> writable_span();   // free space at the end, at least one byte
  void commit(std::size_t bytes);    // this many bytes were written into writable_span()

  std::string_view front() const;   // the first contiguous bytes; empty if the chain is
  void consume(std::size_t bytes);  // removes them from the front
  void clear();
  std::string text() const;  // a copy of the whole content

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

// A page of result rows as it passes through the core unread.
class ChainPayload final : public core::Payload {
 public:
  explicit ChainPayload(BufferChain chain) : chain_(std::move(chain)) {}
  std::size_t size() const override { return chain_.size(); }
  BufferChain& chain() { return chain_; }

 private:
  BufferChain chain_;
};

}  // namespace orchidgw::net
