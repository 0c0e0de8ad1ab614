/** @file Tests of the key-value store behind the platform stand-in. */
#include "standins/platform/kv_store.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace marigold::standin;
using std::chrono::seconds;

TEST_GROUP(KvStore)
{
  KvStore store;
  base::TimePoint start{};
};

// Only one of two concurrent compare-and-swap writes may succeed.
TEST(KvStore, CompareAndSwapHasOneWinner)
{
  const WriteResult created = store.write("k", "a", 0, "");
  CHECK(created.status == WriteStatus::Done);
  CHECK(store.write("k", "b", 0, "").status == WriteStatus::Conflict);
  CHECK(store.write("k", "c", created.revision, "").status ==
        WriteStatus::Done);
  const WriteResult late = store.write("k", "d", created.revision, "");
  CHECK(late.status == WriteStatus::Conflict);
  LONGS_EQUAL(store.find("k")->revision, late.revision);
  STRCMP_EQUAL("c", store.find("k")->value->c_str());
}

// A write that expects the revision of a deleted key must conflict.
TEST(KvStore, DeletedKeyMustBeCreatedAgain)
{
  const WriteResult created = store.write("k", "a", 0, "");
  CHECK(store.remove("k", created.revision + 7).status ==
        WriteStatus::Conflict);
  CHECK(store.remove("k", created.revision).status == WriteStatus::Done);
  CHECK(store.remove("k", std::nullopt).status ==
        WriteStatus::NoSuchKeyOrLease);
  CHECK(store.write("k", "b", created.revision, "").status ==
        WriteStatus::Conflict);
  CHECK(store.write("k", "b", 0, "").status == WriteStatus::Done);
}

// A lease must expire at the end of its term, and its keys with it.
TEST(KvStore, KeysEndWithTheirLease)
{
  const std::string lease = store.grantLease(seconds(10), start);
  store.write("bound", "a", 0, lease);
  store.write("free", "a", 0, "");
  CHECK(!store.expire(start + seconds(9)));
  CHECK(store.renewLease(lease, start + seconds(9)));
  CHECK(!store.expire(start + seconds(18)));
  CHECK(store.expire(start + seconds(19)));
  POINTERS_EQUAL(nullptr, store.find("bound"));
  CHECK(store.find("free") != nullptr);
  CHECK(!store.renewLease(lease, start + seconds(19)));
  CHECK(store.write("bound", "b", 0, lease).status ==
        WriteStatus::NoSuchKeyOrLease);
}

// Expiry of an earlier lease must not delete a key rewritten under a new one.
TEST(KvStore, LastWriteDecidesTheLease)
{
  const std::string first = store.grantLease(seconds(1), start);
  const std::string second = store.grantLease(seconds(100), start);
  store.write("k", "a", 0, first);
  store.write("k", "b", std::nullopt, second);
  store.expire(start + seconds(2));
  CHECK(store.find("k") != nullptr);
  CHECK(store.revokeLease(second));
  POINTERS_EQUAL(nullptr, store.find("k"));
  CHECK(!store.revokeLease(second));
}

// Changes must include deletions and exclude keys with another prefix.
TEST(KvStore, ChangesIncludeDeletions)
{
  store.write("a/1", "x", 0, "");
  const std::uint64_t known = store.revision();
  store.write("a/2", "y", 0, "");
  store.write("b/1", "z", 0, "");
  store.remove("a/1", std::nullopt);
  const auto changes = store.changes("a/", known);
  LONGS_EQUAL(2, changes.size());
  CHECK(!changes[0].second.value.has_value());
  STRCMP_EQUAL("a/2", changes[1].first.c_str());
  CHECK(store.changes("a/", store.revision()).empty());
}

// Values above the size limit must be rejected.
TEST(KvStore, LargeValuesAreRefused)
{
  const std::string limit(KvStore::kMaxValueBytes, 'x');
  CHECK(store.write("k", limit, 0, "").status == WriteStatus::Done);
  CHECK(store.write("k", limit + "x", std::nullopt, "").status ==
        WriteStatus::TooLarge);
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
