// Pooled buffers and chains of them.
#include "net/buffer_pool.h"

#include <gtest/gtest.h>

namespace orchidgw::net {
namespace {

class Buffers : public ::testing::Test {
 protected:
  metrics::Counters counters;
  BufferPool pool{64, counters};
};

TEST_F(Buffers, AChainKeepsBytesInOrder) {
  BufferChain chain(pool);
  std::string all;
  for (int i = 0; i < 5000; ++i) {
    const std::string part = std::to_string(i) + ",";
    chain.append(part);
    all += part;
  }
  EXPECT_EQ(chain.size(), all.size());
  EXPECT_EQ(chain.text(), all);
  std::string drained;
  while (!chain.empty()) {
    const auto front = chain.front();
    const std::size_t n = std::min<std::size_t>(front.size(), 777);
    drained += front.substr(0, n);
    chain.consume(n);
  }
  EXPECT_EQ(drained, all);
  EXPECT_EQ(pool.in_use(), 0U);
}

TEST_F(Buffers, AppendingAChainTakesItsBuffersOver) {
  BufferChain one(pool);
  BufferChain two(pool);
  one.append("head ");
  two.append(std::string(10000, 'x'));
  one.append(std::move(two));
  one.append(" tail");
  EXPECT_EQ(one.text(), "head " + std::string(10000, 'x') + " tail");
  EXPECT_EQ(two.size(), 0U);  // NOLINT(bugprone-use-after-move): it must be empty
  one.clear();
  EXPECT_EQ(pool.in_use(), 0U);
}

// Guards against a process that keeps the memory of a short peak for good.
TEST_F(Buffers, APeakIsGivenBack) {
  std::vector<std::unique_ptr<Block>> blocks;
  for (int i = 0; i < 60; ++i) blocks.push_back(pool.acquire());
  for (auto& block : blocks) pool.release(std::move(block));
  EXPECT_EQ(pool.in_use(), 0U);
  EXPECT_LE(pool.free_count(), kMaxSpareBuffers);
  EXPECT_GT(pool.free_count(), 0U);
}

TEST_F(Buffers, BuffersAreUsedAgain) {
  const char* first = nullptr;
  {
    BufferChain chain(pool);
    first = chain.writable_span().data();
  }
  BufferChain again(pool);
  EXPECT_EQ(again.writable_span().data(), first);
}

TEST_F(Buffers, ThePoolIsLowBeforeItIsEmpty) {
  std::vector<BufferChain> held;
  std::size_t taken = 0;
  while (!pool.low()) {
    held.emplace_back(pool);
    held.back().append("x");
    ++taken;
  }
  EXPECT_EQ(taken, 56U);  // an eighth is reserved for work in progress
  held.emplace_back(pool);
  held.back().append("y");
  EXPECT_EQ(counters.buffers.most, 57U);
  held.clear();
  EXPECT_FALSE(pool.low());
  EXPECT_EQ(pool.in_use(), 0U);
}

TEST_F(Buffers, MovingAChainLeavesNothingBehind) {
  BufferChain one(pool);
  one.append("abc");
  BufferChain two(std::move(one));
  EXPECT_EQ(two.text(), "abc");
  BufferChain three(pool);
  three.append("old");
  three = std::move(two);
  EXPECT_EQ(three.text(), "abc");
  EXPECT_EQ(pool.in_use(), 1U);
}

}  // namespace
}  // namespace orchidgw::net
