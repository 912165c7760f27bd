package commitlog

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/waxwingreel/waxwingreel/consensus"
)

// A record is magic, payload size, CRC-32C of the payload, and the payload in
// CBOR. Sizes are in bytes.
const (
	recordMagic       = 0x77785201
	recordHeaderBytes = 12
	maxRecordBytes    = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt says that a file holds damage that a crash cannot explain.
var ErrCorrupt = eris.New("commitlog: corrupt")

// record is one record of a log file. Exactly one field is set.
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
		return nil, eris.Wrap(err, "commitlog: encode a record")
	}
	return appendRecord(buffer, payload), nil
}

// nextRecord returns the payload at the start of data and the size of its record,
// or false where no whole, sound record starts there.
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

// readRecords decodes a log file. It returns the records and the size of the
// sound part.
//
// A crash in the middle of a write leaves a torn record at the end, which was
// never acknowledged and is left out. A bad record with a sound one behind it is
// different: the sound one was synced, so the bad one was too, and leaving both
// out would forget acknowledged entries. That is ErrCorrupt, and the replica must
// be replaced.
func readRecords(data []byte) ([]record, int, error) {
	var records []record
	at := 0
	for at < len(data) {
		payload, size, ok := nextRecord(data[at:])
		if !ok {
			return records, at, rejectValidAfterDamage(data[at:], at)
		}
		r := record{}
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return nil, 0, eris.Wrapf(ErrCorrupt, "byte %d: %v", at, err)
		}
		records = append(records, r)
		at += size
	}
	return records, at, nil
}

func rejectValidAfterDamage(tail []byte, at int) error {
	for i := 1; i+recordHeaderBytes <= len(tail); i++ {
		if _, _, ok := nextRecord(tail[i:]); ok {
			return eris.Wrapf(ErrCorrupt, "byte %d: damaged record before a sound one at byte %d", at, at+i)
		}
	}
	return nil
}
