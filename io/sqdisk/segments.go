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
			return d.damaged(numbered(segmentPrefix, 1), 0, "the log is missing but there is an identity or a snapshot")
		}
		return d.startSegment()
	}
	p := &replay{disk: d, snapshot: d.snapshot}
	for i, seg := range d.segments {
		data, err := d.files.Read(seg.name)
		if err != nil {
			return d.unreadable(seg.name, err)
		}
		good, err := p.segment(seg, data, i == len(d.segments)-1)
		if err != nil {
			return err
		}
		seg.bytes = good
		d.cutBytes = len(data) - good
	}
	if p.base > d.snapshot.GetIndex() {
		return d.damaged(numbered(snapshotPrefix, p.base), 0, "the snapshot is missing")
	}
	p.finish()
	d.base, d.hard, d.entries = p.base, p.hard, p.entries
	return d.openLast()
}

func (d *Disk) listSegments(names []string) error {
	for _, name := range names {
		if !strings.HasPrefix(name, segmentPrefix) {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimPrefix(name, segmentPrefix), 16, 64)
		if err != nil {
			return d.damaged(name, 0, "not a name of a log file")
		}
		if k := len(d.segments); k > 0 && n != d.segments[k-1].number+1 {
			return d.damaged(numbered(segmentPrefix, d.segments[k-1].number+1), 0, "the log file is missing")
		}
		d.segments = append(d.segments, &segment{name: name, number: n})
	}
	return nil
}

// openLast cuts off what a crash left unfinished and goes on after it.
func (d *Disk) openLast() error {
	seg := d.segments[len(d.segments)-1]
	f, err := d.files.OpenAppend(seg.name)
	if err != nil {
		return d.fail(seg.name, err)
	}
	d.file = f
	if d.cutBytes > 0 {
		if err := f.Truncate(int64(seg.bytes)); err != nil {
			return d.fail(seg.name, err)
		}
		if err := f.Sync(); err != nil {
			return d.fail(seg.name, err)
		}
	}
	if seg.bytes == 0 {
		return d.writeHead()
	}
	return nil
}

// startSegment begins a new file with the present hard state, so that older
// files can be removed.
func (d *Disk) startSegment() error {
	number := uint64(1)
	if k := len(d.segments); k > 0 {
		number = d.segments[k-1].number + 1
	}
	seg := &segment{name: numbered(segmentPrefix, number), number: number}
	f, err := d.files.Create(seg.name)
	if err != nil {
		return d.fail(seg.name, err)
	}
	if d.file != nil {
		_ = d.file.Close()
	}
	d.file = f
	d.segments = append(d.segments, seg)
	return d.writeHead()
}

func (d *Disk) writeHead() error {
	if err := d.write(&sqraft.Record{HardState: d.hard, Mark: &sqraft.Mark{Index: d.base}}); err != nil {
		return err
	}
	if err := d.files.SyncFolder(); err != nil {
		return d.fail(d.segments[len(d.segments)-1].name, err)
	}
	return nil
}

// write appends one record and syncs it.
func (d *Disk) write(r *sqraft.Record) error {
	if d.failed != nil {
		return d.failed
	}
	seg := d.segments[len(d.segments)-1]
	frame, err := encodeFrame(r)
	if err != nil {
		return d.fail(seg.name, err)
	}
	if _, err := d.file.Write(frame); err != nil {
		return d.fail(seg.name, err)
	}
	d.syncs++
	if err := d.file.Sync(); err != nil {
		return d.fail(seg.name, err)
	}
	seg.bytes += len(frame)
	for _, e := range r.GetEntries() {
		seg.note(e.GetIndex())
	}
	return nil
}

// Append appends entries and the hard state, which may be nil, with one sync.
// After an error of kind DiskFailed nothing can be written any more.
func (d *Disk) Append(hard *sqraft.HardState, entries []*sqraft.Entry) error {
	if d.failed != nil {
		return d.failed
	}
	if d.segments[len(d.segments)-1].bytes >= d.cfg.SegmentBytes {
		if err := d.startSegment(); err != nil {
			return err
		}
	}
	if hard != nil {
		d.hard = hard
	}
	return d.write(&sqraft.Record{HardState: hard, Entries: entries})
}

// SaveSnapshot makes a snapshot last and removes the files that it replaces.
// With reset it also drops every later entry.
func (d *Disk) SaveSnapshot(s *sqraft.Snapshot, reset bool) error {
	name := numbered(snapshotPrefix, s.GetIndex())
	if err := d.writeWhole(name, s); err != nil {
		return err
	}
	mark := &sqraft.Mark{Index: s.GetIndex(), Term: s.GetTerm(), Reset_: reset}
	if err := d.write(&sqraft.Record{Mark: mark}); err != nil {
		return err
	}
	d.base = s.GetIndex()
	if err := d.removeSnapshots(name); err != nil {
		return err
	}
	return d.removeSegments()
}

// SaveIdentity makes the identity last.
func (d *Disk) SaveIdentity(r *sqraft.IdentityRecord) error {
	if err := d.writeWhole(identityFile, r); err != nil {
		return err
	}
	d.identity = r
	return nil
}

// writeWhole writes a file aside and puts it in place once it is synced, so
// that a crash leaves the old file or the new one.
func (d *Disk) writeWhole(name string, m proto.Message) error {
	if d.failed != nil {
		return d.failed
	}
	frame, err := encodeFrame(m)
	if err != nil {
		return d.fail(name, err)
	}
	f, err := d.files.Create(name + temporary)
	if err != nil {
		return d.fail(name, err)
	}
	defer func() { _ = f.Close() }()
	if _, err := f.Write(frame); err != nil {
		return d.fail(name, err)
	}
	if err := f.Sync(); err != nil {
		return d.fail(name, err)
	}
	if err := d.files.Rename(name+temporary, name); err != nil {
		return d.fail(name, err)
	}
	if err := d.files.SyncFolder(); err != nil {
		return d.fail(name, err)
	}
	return nil
}

func (d *Disk) removeSnapshots(keep string) error {
	names, err := d.files.List()
	if err != nil {
		return d.fail("", err)
	}
	for _, name := range names {
		if !strings.HasPrefix(name, snapshotPrefix) || name == keep {
			continue
		}
		if err := d.files.Remove(name); err != nil {
			return d.fail(name, err)
		}
	}
	return nil
}

// removeSegments removes the oldest files whose entries are all in the
// snapshot.
func (d *Disk) removeSegments() error {
	for len(d.segments) > 1 && d.segments[0].highest <= d.base {
		if err := d.files.Remove(d.segments[0].name); err != nil {
			return d.fail(d.segments[0].name, err)
		}
		// Without this sync, a crash could bring back an older file but not the
		// next one, which would look like a lost file.
		if err := d.files.SyncFolder(); err != nil {
			return d.fail(d.segments[0].name, err)
		}
		d.segments = d.segments[1:]
	}
	return nil
}
