package sqdisk

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// A frame is a header, a payload and an end mark. The header has its own
// checksum: with a single checksum over header and payload, a flipped bit in the
// length of a frame in the middle of a file would look like a last frame that a
// crash truncated. The end mark distinguishes a corrupted last frame from a
// truncated one: after a crash, the file ends early or in zeros.
const (
	frameMagic            = 0x32717173
	headerBytes           = 24
	lengthOffset          = 4
	payloadChecksumOffset = 8
	headerChecksumOffset  = 16
	// maxPayloadBytes bounds the length that a corrupted header can claim.
	maxPayloadBytes = 1 << 30
	// endMark has several bits set, so that no single bad bit makes it zero.
	endMark      = 0xA5
	endMarkBytes = 1
	// sectorBytes is the smallest unit that a disk writes.
	sectorBytes = 512
)

// encodeFrame returns a frame with the encoded m as its payload.
func encodeFrame(m proto.Message) ([]byte, error) {
	b := make([]byte, headerBytes, headerBytes+proto.Size(m)+endMarkBytes)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return nil, err
	}
	payload := b[headerBytes:]
	b = append(b, endMark)
	binary.LittleEndian.PutUint32(b, frameMagic)
	binary.LittleEndian.PutUint32(b[lengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[payloadChecksumOffset:], xxhash.Sum64(b[headerBytes:]))
	binary.LittleEndian.PutUint64(b[headerChecksumOffset:], xxhash.Sum64(b[:headerChecksumOffset]))
	return b, nil
}

// frameState is the result of decodeFrame's checks.
type frameState int

const (
	frameValid frameState = iota
	// frameTruncated means that the data ends before the frame does.
	frameTruncated
	// frameBadPayload means that the header is valid, but the payload or the
	// end mark is not.
	frameBadPayload
	frameBadHeader
)

// decodeFrame returns the payload of the frame at the start of b and the size of
// the whole frame in bytes.
func decodeFrame(b []byte) (payload []byte, size int, state frameState) {
	if len(b) < headerBytes {
		return nil, len(b), frameTruncated
	}
	n := binary.LittleEndian.Uint32(b[lengthOffset:])
	headerValid := binary.LittleEndian.Uint32(b) == frameMagic &&
		binary.LittleEndian.Uint64(b[headerChecksumOffset:]) == xxhash.Sum64(b[:headerChecksumOffset])
	if !headerValid || n > maxPayloadBytes {
		return nil, 0, frameBadHeader
	}
	size = headerBytes + int(n) + endMarkBytes
	if size > len(b) {
		return nil, len(b), frameTruncated
	}
	if binary.LittleEndian.Uint64(b[payloadChecksumOffset:]) != xxhash.Sum64(b[headerBytes:size]) {
		return nil, size, frameBadPayload
	}
	return b[headerBytes : size-endMarkBytes], size, frameValid
}

// fullyWritten reports whether all of b, which begins at offset in its file,
// reached the disk. The parts that a crash kept from the disk, the end of b or
// any sector, read as zeros. A frame that itself contains a whole sector of
// zeros is therefore treated as not written.
func fullyWritten(b []byte, offset int) bool {
	if b[len(b)-1] == 0 {
		return false
	}
	for len(b) > 0 {
		n := min(sectorBytes-offset%sectorBytes, len(b))
		if allZero(b[:n]) {
			return false
		}
		b, offset = b[n:], offset+n
	}
	return true
}

func allZero(b []byte) bool {
	for _, x := range b {
		if x != 0 {
			return false
		}
	}
	return true
}

// containsFrame reports whether a complete valid frame begins anywhere in b.
func containsFrame(b []byte) bool {
	for i := 0; i+headerBytes <= len(b); i++ {
		if binary.LittleEndian.Uint32(b[i:]) != frameMagic {
			continue
		}
		if _, _, state := decodeFrame(b[i:]); state == frameValid {
			return true
		}
	}
	return false
}
