// Encoding of the large message variants, compiled once.
//
// The field codec is a set of templates. Instantiating it for PeerMessage in every user would take
// about 20 s of compiler time per source file.

#ifndef CAMPHORCLEAT_WIRE_WIRECODEC_H_
#define CAMPHORCLEAT_WIRE_WIRECODEC_H_

#include <string>
#include <vector>

#include "wire/PeerMessages.h"

namespace camphorcleat::wire {

/// Compact CBOR of a peer message. Thread-safe.
std::string encodePeerMessage(const PeerMessage& aMessage);

/// Reads a peer message. The caller bounds the size. Fails with DecodeError. Thread-safe.
Result<PeerMessage> decodePeerMessage(const std::string& aBytes);

/// The names of the alternatives of PeerMessage, in their order. Thread-safe.
std::vector<std::string> peerMessageNames();

/// CBOR of a command. Thread-safe.
std::string encodeCommand(const Command& aCommand);

/// Reads a command. Fails with DecodeError. Thread-safe.
Result<Command> decodeCommand(const std::string& aBytes);

/// CBOR of a list of changes. Thread-safe.
std::string encodeChanges(const std::vector<Change>& aChanges);

/// Reads a list of changes. Fails with DecodeError. Thread-safe.
Result<std::vector<Change>> decodeChanges(const std::string& aBytes);

} // namespace camphorcleat::wire

#endif // CAMPHORCLEAT_WIRE_WIRECODEC_H_
