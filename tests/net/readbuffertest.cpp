#include "net/readbuffer.h"

#include <doctest.h>

#include <cstring>
#include <random>
#include <string>

using namespace monsoon;

namespace {

void store(boost::asio::mutable_buffer To, const std::string &Text) {
  REQUIRE(To.size() >= Text.size());
  std::memcpy(To.data(), Text.data(), Text.size());
}

std::string textOf(const ReadBuffer &Buffer) {
  return {static_cast<const char *>(Buffer.data().data()), Buffer.size()};
}

} // namespace

TEST_SUITE("whole-answer") {
  // Guards against reads that overwrite or lose what waits to be parsed.
  TEST_CASE("read-ahead: bytes that are consumed during a read don't move it") {
    ReadBuffer Buffer;
    store(Buffer.beginRead(8), "one");
    Buffer.endRead(3);
    const auto Storage = Buffer.beginRead(8);
    CHECK(Buffer.isReadPending());
    Buffer.consume(3);
    CHECK(Buffer.size() == 0);
    store(Storage, "two");
    Buffer.endRead(3);
    CHECK(textOf(Buffer) == "two");
  }

  TEST_CASE("read-ahead: any order of reads and parses keeps the bytes") {
    for (unsigned Seed = 1; Seed <= 50; ++Seed) {
      CAPTURE(Seed);
      std::mt19937 Random(Seed);
      ReadBuffer Buffer;
      std::string Expected;
      std::string Consumed;
      boost::asio::mutable_buffer Storage;
      for (int Step = 0; Step < 2000; ++Step) {
        if (Random() % 2 == 0) {
          const size_t Size = Random() % 3 == 0
                                  ? Buffer.size()
                                  : Random() % (Buffer.size() + 1);
          Consumed += textOf(Buffer).substr(0, Size);
          Buffer.consume(Size);
        } else if (!Buffer.isReadPending()) {
          Storage = Buffer.beginRead(1 + Random() % 64);
        } else {
          std::string Read(Random() % (Storage.size() + 1), ' ');
          for (char &Each : Read)
            Each = static_cast<char>('a' + Random() % 26);
          store(Storage, Read);
          Expected += Read;
          Buffer.endRead(Read.size());
        }
      }
      CHECK(Consumed + textOf(Buffer) == Expected);
    }
  }

  TEST_CASE("read-ahead: a failed read leaves what waits") {
    ReadBuffer Buffer;
    store(Buffer.beginRead(8), "one");
    Buffer.endRead(3);
    Buffer.beginRead(8);
    Buffer.endRead(0);
    CHECK(!Buffer.isReadPending());
    CHECK(textOf(Buffer) == "one");
  }
}
