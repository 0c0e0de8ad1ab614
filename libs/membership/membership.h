/**
 * @file
 * Public header of the membership library: which VMs exist, which of them are
 * heard from, and what that says about this VM's own situation. Safety never
 * depends on it; it only tells whom to ask first.
 */
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marigold::membership {

/** What a VM in the platform's list does. */
enum class Role : std::uint8_t
{
  Entry,
  Engine,
  Service,
};

/** A VM in the platform's list. */
struct Vm
{
  base::VmName name;
  Role role = Role::Entry;
  base::DataCentre dataCentre;
  bool leaving = false;
  std::string address;             ///< IP:port for callers or requests
  std::string operatorAddress;     ///< IP:port, entry VMs only
  std::string meshAddress;         ///< IP:port, entry VMs only
  std::vector<std::string> serves; ///< service names, plain services only
  int memoryMb = 0;                ///< accelerator memory, engines only
  bool honoursFencing = false;     ///< engines only

  bool operator==(const Vm&) const = default;
};

/** The platform's lagging list. */
struct VmList
{
  std::uint64_t revision = 0;
  std::vector<Vm> vms;
};

/** What a peer tells about itself. Fields that are empty have not changed. */
struct Heartbeat
{
  base::VmName vm;
  base::DataCentre dataCentre;
  base::Incarnation incarnation = 0;
  std::map<std::string, std::uint64_t> versions; ///< document versions
  std::uint64_t withdrawalsDigest = 0;
  bool platformReachable = false;
  bool hearsOthers = false; ///< hears a VM of another data centre itself
  /** Time since the peer, or one of its data centre that it heard, was in touch
   * with the platform or another data centre; max if never. */
  base::Duration contactAge = base::Duration::max();
  std::string meshAddress;
  std::string operatorAddress;
};

/** What is known of a peer. */
enum class PeerState : std::uint8_t
{
  Alive,     ///< heard from within kAliveFor
  Suspected, ///< silent: dead, paused or cut off, which cannot be told apart
  Gone,      ///< absent from a list at least as new as one that showed it
};

/** What this VM can know of its own situation. */
enum class Situation : std::uint8_t
{
  Connected,    ///< the platform answers
  PlatformDown, ///< it does not, and a peer outside this data centre agrees
  CutOff,       ///< neither the platform nor another data centre is heard
};

/** A peer with the age of what is known of it. */
struct Peer
{
  Heartbeat last;
  base::TimePoint heardAt;
  bool heard = false;
  std::uint64_t listedAt = 0; ///< revision of the last list that showed it
};

/** Heartbeats arrive every 500 ms; three missing ones raise a suspicion. */
inline constexpr base::Duration kAliveFor = std::chrono::milliseconds(1500);

/** Relays of a data centre; two, so that one may fail. */
inline constexpr std::size_t kRelays = 2;

/** The views of one entry VM. */
class Membership
{
public:
  /** @param aSelf this VM @param aDataCentre its data centre */
  Membership(base::VmName aSelf, base::DataCentre aDataCentre);

  /** @param aList list from the platform or a peer; older ones are ignored
   * @return true if it was newer than the list held */
  bool onList(const VmList& aList);

  /** @param aHeartbeat heartbeat of a peer @param aNow time of arrival */
  void onHeartbeat(const Heartbeat& aHeartbeat, base::TimePoint aNow);

  /** @param aReachable whether a call succeeded @param aNow time of its end */
  void onPlatform(bool aReachable, base::TimePoint aNow);

  /** @param aVm peer @param aNow current time @return what is known of it */
  PeerState state(const base::VmName& aVm, base::TimePoint aNow) const;

  /** @param aNow current time @return this VM's own situation */
  Situation situation(base::TimePoint aNow) const;

  /** @param aNow current time @return alive entry VMs of a data centre,
   * this VM included if it is its own, sorted @param aDataCentre which */
  std::vector<base::VmName> alive(const base::DataCentre& aDataCentre,
                                  base::TimePoint aNow) const;

  /** @param aNow current time @return alive peers, those of the own data
   * centre first, each group sorted */
  std::vector<base::VmName> alivePeers(base::TimePoint aNow) const;

  /** @param aDataCentre data centre @param aNow current time @return its
   * relays, chosen by rendezvous order among the VMs that are alive */
  std::vector<base::VmName> relays(const base::DataCentre& aDataCentre,
                                   base::TimePoint aNow) const;

  /** @param aNow current time @return the VMs of a data centre that a relay
   * keeps in touch with: its relays, or while none is heard, the listed VMs
   * that would be relays if they were alive @param aDataCentre which */
  std::vector<base::VmName> contacts(const base::DataCentre& aDataCentre,
                                     base::TimePoint aNow) const;

  /** @param aNow current time @return true if a VM of another data centre is
   * heard by this VM itself */
  bool hearsOthers(base::TimePoint aNow) const;

  /** @param aNow current time @return true if this VM is a relay */
  bool isRelay(base::TimePoint aNow) const;

  /**
   * Bounds how old this VM's view of the withdrawals can be.
   * @param aNow current time
   * @return time since this VM, or one of its data centre that it heard, was in
   * touch with the platform or another data centre; max if never
   */
  base::Duration contactAge(base::TimePoint aNow) const;

  /** @return the newest list */
  const VmList& list() const { return mList; }

  /** @return all peers by name */
  const std::map<base::VmName, Peer>& peers() const { return mPeers; }

  /** @return this VM's name */
  const base::VmName& self() const { return mSelf; }

  /** @return this VM's data centre */
  const base::DataCentre& dataCentre() const { return mDataCentre; }

private:
  base::VmName mSelf;
  base::DataCentre mDataCentre;
  VmList mList;
  std::map<base::VmName, Peer> mPeers;
  base::TimePoint mPlatformOkAt;
  bool mPlatformAnswered = false; ///< at least once
  bool mPlatformOk = false;
};

/** @param aState state @return its name in status and dumps */
std::string_view
stateName(PeerState aState);

/** @param aSituation situation @return its name in status and dumps */
std::string_view
situationName(Situation aSituation);

} // namespace marigold::membership
