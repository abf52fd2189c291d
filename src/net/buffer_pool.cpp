#include "net/buffer_pool.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace orchidgw::net {

std::unique_ptr<Block> BufferPool::acquire() {
  ++in_use_;
  counters_.buffers.set(in_use_);
  if (free_.empty()) return std::make_unique<Block>();
  auto block = std::move(free_.back());
  free_.pop_back();
  return block;
}

void BufferPool::release(std::unique_ptr<Block> block) {
  --in_use_;
  counters_.buffers.set(in_use_);
  free_.push_back(std::move(block));
  // Guards against keeping the memory of a peak for good.
  while (free_.size() > in_use_ + kMaxSpareBuffers) free_.pop_back();
}

BufferChain::BufferChain(BufferChain&& other) noexcept
    : pool_(other.pool_), links_(std::move(other.links_)), size_(std::exchange(other.size_, 0)) {
  other.links_.clear();
}

BufferChain& BufferChain::operator=(BufferChain&& other) noexcept {
  if (this == &other) return *this;
  clear();
  pool_ = other.pool_;
  links_ = std::move(other.links_);
  size_ = std::exchange(other.size_, 0);
  other.links_.clear();
  return *this;
}

void BufferChain::append(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::span<char> free = writable_span();
    const std::size_t n = std::min(free.size(), bytes.size());
    std::memcpy(free.data(), bytes.data(), n);
    commit(n);
    bytes.remove_prefix(n);
  }
}

void BufferChain::append(BufferChain&& other) {
  for (Link& link : other.links_) links_.push_back(std::move(link));
  size_ += other.size_;
  other.links_.clear();
  other.size_ = 0;
}

std::span<char> BufferChain::writable_span() {
  if (links_.empty() || links_.back().end == kBufferBytes) links_.emplace_back().block = pool_->acquire();
  Link& last = links_.back();
  return {last.block->data() + last.end, kBufferBytes - last.end};
}

void BufferChain::commit(std::size_t bytes) {
  links_.back().end += bytes;
  size_ += bytes;
}

std::string_view BufferChain::front() const {
  for (const Link& link : links_) {
    if (link.end > link.begin) return {link.block->data() + link.begin, link.end - link.begin};
  }
  return {};
}

void BufferChain::consume(std::size_t bytes) {
  size_ -= std::min(bytes, size_);
  while (!links_.empty()) {
    Link& first = links_.front();
    const std::size_t n = std::min(bytes, first.end - first.begin);
    first.begin += n;
    bytes -= n;
    if (first.begin < first.end) return;
    pool_->release(std::move(first.block));
    links_.pop_front();
  }
}

void BufferChain::clear() {
  for (Link& link : links_) pool_->release(std::move(link.block));
  links_.clear();
  size_ = 0;
}

std::string BufferChain::text() const {
  std::string out;
  out.reserve(size_);
  for (const Link& link : links_) out.append(link.block->data() + link.begin, link.end - link.begin);
  return out;
}

}  // namespace orchidgw::net
