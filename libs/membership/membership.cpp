#include "membership/membership.h"

#include <algorithm>
#include <array>
#include <utility>

namespace marigold::membership {

Membership::Membership(base::VmName aSelf, base::DataCentre aDataCentre)
  : mSelf(std::move(aSelf))
  , mDataCentre(std::move(aDataCentre))
{
}

bool
Membership::onList(const VmList& aList)
{
  if (aList.revision <= mList.revision) {
    return false;
  }
  mList = aList;
  for (const Vm& vm : mList.vms) {
    if (vm.role != Role::Entry || vm.name == mSelf) {
      continue;
    }
    Peer& peer = mPeers[vm.name];
    peer.listedAt = mList.revision;
    peer.last.vm = vm.name;
    peer.last.dataCentre = vm.dataCentre;
    if (!peer.heard) {
      peer.last.meshAddress = vm.meshAddress;
      peer.last.operatorAddress = vm.operatorAddress;
    }
  }
  return true;
}

void
Membership::onHeartbeat(const Heartbeat& aHeartbeat, base::TimePoint aNow)
{
  if (aHeartbeat.vm == mSelf) {
    return;
  }
  Peer& peer = mPeers[aHeartbeat.vm];
  // A heartbeat of an earlier run of the process may arrive late.
  if (peer.heard && aHeartbeat.incarnation < peer.last.incarnation) {
    return;
  }
  const Heartbeat before = std::exchange(peer.last, aHeartbeat);
  const auto keep = [](std::string& aField, const std::string& aBefore) {
    if (aField.empty()) {
      aField = aBefore;
    }
  };
  keep(peer.last.dataCentre, before.dataCentre);
  keep(peer.last.meshAddress, before.meshAddress);
  keep(peer.last.operatorAddress, before.operatorAddress);
  peer.heardAt = aNow;
  peer.heard = true;
}

void
Membership::onPlatform(bool aReachable, base::TimePoint aNow)
{
  mPlatformOk = aReachable;
  if (aReachable) {
    mPlatformOkAt = aNow;
    mPlatformAnswered = true;
  }
}

base::Duration
Membership::contactAge(base::TimePoint aNow) const
{
  base::Duration age =
    mPlatformAnswered ? aNow - mPlatformOkAt : base::Duration::max();
  for (const auto& [name, peer] : mPeers) {
    if (!peer.heard) {
      continue;
    }
    const base::Duration silence = aNow - peer.heardAt;
    if (peer.last.dataCentre != mDataCentre) {
      age = std::min(age, silence);
    } else if (peer.last.contactAge < base::Duration::max() - silence) {
      age = std::min(age, peer.last.contactAge + silence);
    }
  }
  return age;
}

PeerState
Membership::state(const base::VmName& aVm, base::TimePoint aNow) const
{
  const auto found = mPeers.find(aVm);
  if (found == mPeers.end()) {
    return PeerState::Suspected;
  }
  const Peer& peer = found->second;
  if (peer.heard && aNow - peer.heardAt <= kAliveFor) {
    return PeerState::Alive;
  }
  if (peer.listedAt != 0 && peer.listedAt < mList.revision) {
    return PeerState::Gone;
  }
  return PeerState::Suspected;
}

Situation
Membership::situation(base::TimePoint aNow) const
{
  if (mPlatformOk) {
    return Situation::Connected;
  }
  if (hearsOthers(aNow)) {
    return Situation::PlatformDown;
  }
  // Only relays talk between data centres, so the others ask what they hear.
  for (const auto& [name, peer] : mPeers) {
    if (peer.last.dataCentre == mDataCentre && peer.last.hearsOthers &&
        state(name, aNow) == PeerState::Alive) {
      return Situation::PlatformDown;
    }
  }
  return Situation::CutOff;
}

std::vector<base::VmName>
Membership::alive(const base::DataCentre& aDataCentre,
                  base::TimePoint aNow) const
{
  std::vector<base::VmName> names;
  if (aDataCentre == mDataCentre) {
    names.push_back(mSelf);
  }
  for (const auto& [name, peer] : mPeers) {
    if (peer.last.dataCentre == aDataCentre &&
        state(name, aNow) == PeerState::Alive) {
      names.push_back(name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<base::VmName>
Membership::alivePeers(base::TimePoint aNow) const
{
  std::vector<base::VmName> near;
  std::vector<base::VmName> far;
  for (const auto& [name, peer] : mPeers) {
    if (state(name, aNow) == PeerState::Alive) {
      (peer.last.dataCentre == mDataCentre ? near : far).push_back(name);
    }
  }
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

std::vector<base::VmName>
Membership::relays(const base::DataCentre& aDataCentre,
                   base::TimePoint aNow) const
{
  auto names = base::rendezvousOrder(aDataCentre, alive(aDataCentre, aNow));
  names.resize(std::min(names.size(), kRelays));
  return names;
}

std::vector<base::VmName>
Membership::contacts(const base::DataCentre& aDataCentre,
                     base::TimePoint aNow) const
{
  std::vector<base::VmName> names = relays(aDataCentre, aNow);
  if (!names.empty()) {
    return names;
  }
  for (const auto& [name, peer] : mPeers) {
    if (peer.last.dataCentre == aDataCentre &&
        state(name, aNow) != PeerState::Gone) {
      names.push_back(name);
    }
  }
  names = base::rendezvousOrder(aDataCentre, names);
  names.resize(std::min(names.size(), kRelays));
  return names;
}

bool
Membership::hearsOthers(base::TimePoint aNow) const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
    return aEntry.second.last.dataCentre != mDataCentre &&
           state(aEntry.first, aNow) == PeerState::Alive;
  });
}

bool
Membership::isRelay(base::TimePoint aNow) const
{
  const auto names = relays(mDataCentre, aNow);
  return std::find(names.begin(), names.end(), mSelf) != names.end();
}

std::string_view
stateName(PeerState aState)
{
  static constexpr std::array<std::string_view, 3> kNames{ "alive",
                                                           "suspected",
                                                           "gone" };
  return kNames.at(static_cast<std::size_t>(aState));
}

std::string_view
situationName(Situation aSituation)
{
  static constexpr std::array<std::string_view, 3> kNames{ "connected",
                                                           "platform-down",
                                                           "cut-off" };
  return kNames.at(static_cast<std::size_t>(aSituation));
}

} // namespace marigold::membership
