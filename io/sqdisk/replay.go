package sqdisk

import (
	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqraft"
)

// replay rebuilds the hard state and the entries from the segments.
type replay struct {
	disk      *Disk
	snapshot  *sqraft.Snapshot
	hardState *sqraft.HardState
	// baseIndex is the index that precedes entries[0].
	baseIndex uint64
	entries   []*sqraft.Entry
}

func (p *replay) lastIndex() uint64 { return p.baseIndex + uint64(len(p.entries)) }

// replaySegment replays one segment and returns how many bytes hold valid records.
func (p *replay) replaySegment(seg *segment, data []byte, isLastSegment bool) (int, error) {
	offset := 0
	for offset < len(data) {
		payload, size, state := decodeFrame(data[offset:])
		if state != frameValid {
			if isLastSegment && isTornTail(data, offset, size, state) {
				return offset, nil
			}
			return 0, p.disk.damagedError(seg.name, offset, "a record that was written whole fails its checksum")
		}
		record := &sqraft.Record{}
		if err := proto.Unmarshal(payload, record); err != nil {
			return 0, p.disk.damagedError(seg.name, offset, "a record cannot be decoded")
		}
		if detail := p.applyRecord(seg, record); detail != "" {
			return 0, p.disk.damagedError(seg.name, offset, detail)
		}
		offset += size
	}
	return offset, nil
}

// isTornTail reports whether an invalid frame can be the last one, truncated by a
// crash. Each frame is synced before the next one is written, so no valid frame
// follows a truncated one. A last frame that was written completely was corrupted
// later: its entries may have been acknowledged, and a replica that dropped them
// must not vote.
func isTornTail(data []byte, offset, size int, state frameState) bool {
	remaining := data[offset:]
	switch state {
	case frameTruncated:
		return true
	case frameBadPayload:
		return size == len(remaining) && !fullyWritten(remaining, offset)
	default:
		return !containsFrame(remaining[1:]) && !fullyWritten(remaining, offset)
	}
}

// applyRecord applies one record and returns a description of its fault, or "".
func (p *replay) applyRecord(seg *segment, r *sqraft.Record) string {
	if r.GetHardState() != nil {
		p.hardState = r.GetHardState()
	}
	if r.GetMark() != nil {
		p.applyMark(r.GetMark())
	}
	for _, e := range r.GetEntries() {
		if detail := p.applyEntry(e); detail != "" {
			return detail
		}
		seg.recordIndex(e.GetIndex())
	}
	return ""
}

func (p *replay) applyMark(m *sqraft.Mark) {
	if m.GetReset_() || m.GetIndex() >= p.lastIndex() {
		p.baseIndex = m.GetIndex()
		p.entries = nil
		return
	}
	if m.GetIndex() > p.baseIndex {
		p.entries = p.entries[m.GetIndex()-p.baseIndex:]
		p.baseIndex = m.GetIndex()
	}
}

func (p *replay) applyEntry(e *sqraft.Entry) string {
	if e.GetIndex() <= p.baseIndex {
		return "an entry precedes its snapshot"
	}
	if e.GetIndex() > p.lastIndex()+1 {
		if e.GetIndex()-1 > p.snapshot.GetIndex() {
			return "entries are missing before this record"
		}
		// The entries before e were in segments that the snapshot replaced.
		p.baseIndex = e.GetIndex() - 1
		p.entries = nil
	}
	p.entries = append(p.entries[:e.GetIndex()-p.baseIndex-1], e)
	return ""
}

// alignWithSnapshot drops the entries that the snapshot replaces. Their mark may be
// missing: a crash can come after the snapshot was synced and before its mark
// was.
func (p *replay) alignWithSnapshot() {
	index := p.snapshot.GetIndex()
	if index <= p.baseIndex {
		return
	}
	if index <= p.lastIndex() && p.entries[index-p.baseIndex-1].GetTerm() == p.snapshot.GetTerm() {
		p.entries = p.entries[index-p.baseIndex:]
	} else {
		p.entries = nil
	}
	p.baseIndex = index
}
