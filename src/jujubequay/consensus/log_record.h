#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/wire/framing.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace google::protobuf {
class MessageLite;
}

namespace Jujubequay::Consensus {

enum class RecordType : std::uint8_t { Identity = 1, LogHeader = 2, HardState = 3, Entry = 4, Snapshot = 5 };

/// A record whose checksums are correct.
struct LogRecord {
    RecordType type = RecordType::Entry;
    std::span<const std::uint8_t> payload; ///< part of the scanned content
};

/// The complete records of a file. A record at the end that was not completely written (a torn tail) is not part of them.
struct RecordScan {
    std::vector<LogRecord> records;
    std::size_t validBytes = 0; ///< size of `records` in the file; the bytes after them are a torn tail
};

/// Appends a record to `out`. The record will be written at `offset` in a file. It consists of a header, the payload and an end mark of 1 byte. The
/// header has 4 bytes length, 1 byte type, 8 bytes xxHash of the payload and 8 bytes xxHash of the preceding header fields with `offset` as seed.
void putRecord(Bytes &out, std::size_t offset, RecordType type, const google::protobuf::MessageLite &message);

/// Reads and checks the records of a file; `name` is the file name for error messages. The scan ends at a torn tail: the file ends within a record,
/// or all bytes from a 512-byte boundary within the record to the end of the file are zero. Any other difference fails with DiskDamaged. This
/// includes the last record, which may have been synced and acknowledged.
Result<RecordScan> scanRecords(std::span<const std::uint8_t> content, const std::string &name);

}
