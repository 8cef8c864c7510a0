#pragma once

#include <jujubequay/core/error.h>

#include <control.pb.h>

namespace Jujubequay {

/// True if the server has left by its own announcement; false if it runs, or if a control host has removed it.
bool hasDeregistered(const jujubequay::pb::ServerEntry &entry);

/// True if watchers have to be notified of the change. They use neither the owner of an entry nor its sequence number, and of its
/// observation only whether the server has deregistered itself.
bool isVisibleToWatchers(const jujubequay::pb::ServerEntry &previous, const jujubequay::pb::ServerEntry &entry);

/// Replaces `servers` by `watched`, which takes about a quarter of the space.
void compactServers(jujubequay::pb::RegistryDelta &delta);

/// Replaces `watched` by `servers`. Fails with BadRequest, naming field, value and bound, if an entry refers to a name that the message
/// does not contain, or if its port or its state is out of range; the message is then unchanged.
Result<void> expandServers(jujubequay::pb::RegistryDelta &delta);

}
