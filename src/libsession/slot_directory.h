#pragma once

#include "catkinlock/membership.h"
#include "catkinlock/metadata_store.h"
#include "libsession/fleet_view.h"
#include <map>
#include <string>
#include <vector>

namespace catkinlock {

/// Names of the instances that share the slots: those with the most processor cores if there are a few of them,
/// otherwise all. A holder grants tokens to all other instances, which costs a small one too much after a start of all.
/// `self` is among them while it isn't registered.
std::vector<std::string> slotCandidates(const FleetView&, const std::string& self);

/// Records of all instances that are registered or hold slots according to the metadata store. Their version is the
/// serial number of the view, so that they replace records from earlier views. The record of an instance that holds
/// slots has the address from its slots and no data centre. Slots with a malformed value are ignored.
std::vector<InstanceRecord> instancesInStore(const std::map<std::string, KeyValue>& values, const FleetView&);

/// Records that mark each instance of `known` that is missing from `current` as dead, with no slots and with `version`.
/// Applying them frees the slots of instances whose registration has expired.
std::vector<InstanceRecord> recordsOfExpired(
    const std::vector<InstanceRecord>& known, const std::vector<InstanceRecord>& current, std::uint64_t version);

/// The slots that the metadata store assigns to an instance; empty if there are none.
std::vector<std::uint32_t> slotsListedFor(const std::map<std::string, KeyValue>&, const std::string& instance);

} // namespace catkinlock
