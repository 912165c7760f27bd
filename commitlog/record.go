package commitlog

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/consensus"
)

// A record consists of a magic number, the payload size in bytes, the CRC-32C of the
// payload, and the payload. The three header fields have 4 bytes each, in big-endian order.
// The payloads of a journal are encoded in CBOR.
const (
	recordMagic       = 0x77785201
	recordHeaderBytes = 12
	maxRecordBytes    = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt means that a file has damage that a crash during a write cannot cause.
var ErrCorrupt = eris.New("commitlog: file is corrupt")

// record is the payload of a log file's record. Exactly one field is set.
type record struct {
	HardState *consensus.HardState `json:"hardState,omitempty"`
	Entry     *consensus.Entry     `json:"entry,omitempty"`
}

func appendRecord(buffer []byte, payload []byte) []byte {
	buffer = binary.BigEndian.AppendUint32(buffer, recordMagic)
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.BigEndian.AppendUint32(buffer, crc32.Checksum(payload, castagnoli))
	return append(buffer, payload...)
}

func encodeRecord(buffer []byte, r record) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return nil, eris.Wrap(err, "commitlog: encode record")
	}
	return appendRecord(buffer, payload), nil
}

// nextRecord returns the payload of the record at the start of data and the size of
// the record, or false if data does not start with a complete, valid record.
func nextRecord(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < recordHeaderBytes || binary.BigEndian.Uint32(data) != recordMagic {
		return nil, 0, false
	}
	n := binary.BigEndian.Uint32(data[4:])
	if n > maxRecordBytes || len(data) < recordHeaderBytes+int(n) {
		return nil, 0, false
	}
	size = recordHeaderBytes + int(n)
	payload = data[recordHeaderBytes:size]
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(data[8:]) {
		return nil, 0, false
	}
	return payload, size, true
}

// readRecords decodes a log file. It returns the records and the size of the valid
// part.
//
// A crash during a write leaves a torn record at the end, which was never
// acknowledged and is ignored. If a valid record follows an invalid one, however, the
// valid one was synced and so was the invalid one before it. Ignoring them would lose
// acknowledged entries. In this case readRecords returns ErrCorrupt, and the replica
// must be replaced.
func readRecords(data []byte) ([]record, int, error) {
	var records []record
	offset := 0
	for offset < len(data) {
		payload, size, ok := nextRecord(data[offset:])
		if !ok {
			return records, offset, rejectValidAfterDamage(data[offset:], offset)
		}
		r := record{}
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return nil, 0, eris.Wrapf(ErrCorrupt, "decode record at byte %d: %v", offset, err)
		}
		records = append(records, r)
		offset += size
	}
	return records, offset, nil
}

// rejectValidAfterDamage returns ErrCorrupt if a valid record follows the invalid
// record at the start of tail. The tail begins at the given offset of the file.
func rejectValidAfterDamage(tail []byte, offset int) error {
	for i := 1; i+recordHeaderBytes <= len(tail); i++ {
		if _, _, ok := nextRecord(tail[i:]); ok {
			return eris.Wrapf(ErrCorrupt, "invalid record at byte %d before a valid one at byte %d", offset, offset+i)
		}
	}
	return nil
}
