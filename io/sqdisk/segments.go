package sqdisk

import (
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqraft"
)

// loadLog replays the segments and opens the last one for appending.
func (d *Disk) loadLog(names []string) error {
	if err := d.listSegments(names); err != nil {
		return err
	}
	if len(d.segments) == 0 {
		if d.snapshot != nil || d.identity != nil {
			return d.damagedError(numberedName(segmentPrefix, 1), 0, "the log is missing but there is an identity or a snapshot")
		}
		return d.startSegment()
	}
	state := &replay{disk: d, snapshot: d.snapshot}
	for i, seg := range d.segments {
		data, err := d.fs.Read(seg.name)
		if err != nil {
			return d.readError(seg.name, err)
		}
		validBytes, err := state.replaySegment(seg, data, i == len(d.segments)-1)
		if err != nil {
			return err
		}
		seg.bytes = validBytes
		d.droppedBytes = len(data) - validBytes
	}
	if state.baseIndex > d.snapshot.GetIndex() {
		return d.damagedError(numberedName(snapshotPrefix, state.baseIndex), 0, "the snapshot is missing")
	}
	state.alignWithSnapshot()
	d.baseIndex, d.hardState, d.entries = state.baseIndex, state.hardState, state.entries
	return d.openLastSegment()
}

func (d *Disk) listSegments(names []string) error {
	for _, name := range names {
		if !strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimPrefix(name, segmentPrefix), 16, 64)
		if err != nil {
			return d.damagedError(name, 0, "not a name of a log file")
		}
		if k := len(d.segments); k > 0 && n != d.segments[k-1].number+1 {
			return d.damagedError(numberedName(segmentPrefix, d.segments[k-1].number+1), 0, "the log file is missing")
		}
		d.segments = append(d.segments, &segment{name: name, number: n})
	}
	return nil
}

// openLastSegment truncates an incomplete last record and opens the last segment
// for appending.
func (d *Disk) openLastSegment() error {
	seg := d.segments[len(d.segments)-1]
	f, err := d.fs.OpenAppend(seg.name)
	if err != nil {
		return d.markFailed(seg.name, err)
	}
	d.activeFile = f
	if d.droppedBytes > 0 {
		if err := f.Truncate(int64(seg.bytes)); err != nil {
			return d.markFailed(seg.name, err)
		}
		if err := f.Sync(); err != nil {
			return d.markFailed(seg.name, err)
		}
	}
	if seg.bytes == 0 {
		return d.writeSegmentHeader()
	}
	return nil
}

// startSegment creates a new segment that begins with the current hard state, so
// that older segments can be removed.
func (d *Disk) startSegment() error {
	number := uint64(1)
	if k := len(d.segments); k > 0 {
		number = d.segments[k-1].number + 1
	}
	seg := &segment{name: numberedName(segmentPrefix, number), number: number}
	f, err := d.fs.Create(seg.name)
	if err != nil {
		return d.markFailed(seg.name, err)
	}
	if d.activeFile != nil {
		_ = d.activeFile.Close()
	}
	d.activeFile = f
	d.segments = append(d.segments, seg)
	return d.writeSegmentHeader()
}

// writeSegmentHeader writes the first record of a segment: the hard state and a
// mark.
func (d *Disk) writeSegmentHeader() error {
	if err := d.writeRecord(&sqraft.Record{HardState: d.hardState, Mark: &sqraft.Mark{Index: d.baseIndex}}); err != nil {
		return err
	}
	if err := d.fs.SyncFolder(); err != nil {
		return d.markFailed(d.segments[len(d.segments)-1].name, err)
	}
	return nil
}

// writeRecord appends one record to the last segment and syncs it.
func (d *Disk) writeRecord(r *sqraft.Record) error {
	if d.failed != nil {
		return d.failed
	}
	seg := d.segments[len(d.segments)-1]
	frame, err := encodeFrame(r)
	if err != nil {
		return d.markFailed(seg.name, err)
	}
	if _, err := d.activeFile.Write(frame); err != nil {
		return d.markFailed(seg.name, err)
	}
	d.syncs++
	if err := d.activeFile.Sync(); err != nil {
		return d.markFailed(seg.name, err)
	}
	seg.bytes += len(frame)
	for _, e := range r.GetEntries() {
		seg.recordIndex(e.GetIndex())
	}
	return nil
}

// Append appends entries and the hard state, which may be nil, with one sync.
// After an error of kind DiskFailed, every later write fails with the same error.
func (d *Disk) Append(hardState *sqraft.HardState, entries []*sqraft.Entry) error {
	if d.failed != nil {
		return d.failed
	}
	if d.segments[len(d.segments)-1].bytes >= d.cfg.SegmentBytes {
		if err := d.startSegment(); err != nil {
			return err
		}
	}
	if hardState != nil {
		d.hardState = hardState
	}
	return d.writeRecord(&sqraft.Record{HardState: hardState, Entries: entries})
}

// SaveSnapshot makes a snapshot durable and removes the snapshots and segments
// that it replaces. With reset it also drops every later entry.
func (d *Disk) SaveSnapshot(s *sqraft.Snapshot, reset bool) error {
	name := numberedName(snapshotPrefix, s.GetIndex())
	if err := d.writeFileAtomic(name, s); err != nil {
		return err
	}
	mark := &sqraft.Mark{Index: s.GetIndex(), Term: s.GetTerm(), Reset_: reset}
	if err := d.writeRecord(&sqraft.Record{Mark: mark}); err != nil {
		return err
	}
	d.baseIndex = s.GetIndex()
	if err := d.removeSnapshots(name); err != nil {
		return err
	}
	return d.removeSegments()
}

// SaveIdentity makes the identity durable.
func (d *Disk) SaveIdentity(r *sqraft.IdentityRecord) error {
	if err := d.writeFileAtomic(identityFile, r); err != nil {
		return err
	}
	d.identity = r
	return nil
}

// writeFileAtomic writes and syncs a temporary file and then renames it to name, so
// that a crash leaves either the old file or the new one.
func (d *Disk) writeFileAtomic(name string, m proto.Message) error {
	if d.failed != nil {
		return d.failed
	}
	frame, err := encodeFrame(m)
	if err != nil {
		return d.markFailed(name, err)
	}
	f, err := d.fs.Create(name + tempSuffix)
	if err != nil {
		return d.markFailed(name, err)
	}
	defer func() { _ = f.Close() }()
	if _, err := f.Write(frame); err != nil {
		return d.markFailed(name, err)
	}
	if err := f.Sync(); err != nil {
		return d.markFailed(name, err)
	}
	if err := d.fs.Rename(name+tempSuffix, name); err != nil {
		return d.markFailed(name, err)
	}
	if err := d.fs.SyncFolder(); err != nil {
		return d.markFailed(name, err)
	}
	return nil
}

func (d *Disk) removeSnapshots(keepName string) error {
	names, err := d.fs.List()
	if err != nil {
		return d.markFailed("", err)
	}
	for _, name := range names {
		if !strings.HasPrefix(name, snapshotPrefix) || name == keepName {
			continue
		}
		if err := d.fs.Remove(name); err != nil {
			return d.markFailed(name, err)
		}
	}
	return nil
}

// removeSegments removes the oldest segments as long as the snapshot covers all
// of their entries.
func (d *Disk) removeSegments() error {
	for len(d.segments) > 1 && d.segments[0].highestIndex <= d.baseIndex {
		if err := d.fs.Remove(d.segments[0].name); err != nil {
			return d.markFailed(d.segments[0].name, err)
		}
		// Without this sync, a crash could restore an older segment but not the
		// next one, which would look like a missing file.
		if err := d.fs.SyncFolder(); err != nil {
			return d.markFailed(d.segments[0].name, err)
		}
		d.segments = d.segments[1:]
	}
	return nil
}
