package sqraft

import "google.golang.org/protobuf/proto"

// entryLog holds the log entries after baseIndex in memory.
type entryLog struct {
	// baseIndex and baseTerm are the index and term of the entry before
	// entries[0].
	baseIndex uint64
	baseTerm  uint64
	entries   []*Entry
	// endOffsets holds, for each entry, the encoded size in bytes of all entries
	// up to it since the log was created. baseOffset is that of the entry before
	// entries[0].
	endOffsets []uint64
	baseOffset uint64
	// syncedIndex is the index of the last entry synced on this replica.
	syncedIndex uint64
	// memberships holds, by rising index, the memberships that are in force or
	// may be again after a truncation; the first is committed.
	memberships []indexedMembership
}

type indexedMembership struct {
	index   uint64
	members []Member
}

func newEntryLog(s *Snapshot, entries []*Entry) *entryLog {
	l := &entryLog{baseIndex: s.GetIndex(), baseTerm: s.GetTerm()}
	l.memberships = []indexedMembership{{index: l.baseIndex, members: membersOf(s.GetMembership())}}
	for _, e := range entries {
		l.append(e)
	}
	l.syncedIndex = l.lastIndex()
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns the term of the entry at index, and whether it is known.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].GetTerm(), true
}

func (l *entryLog) entryAt(index uint64) *Entry { return l.entries[index-l.baseIndex-1] }

// entriesBetween returns a copy of the entries from first to last, both
// included.
func (l *entryLog) entriesBetween(first, last uint64) []*Entry {
	if first > last {
		return nil
	}
	return append([]*Entry(nil), l.entries[first-l.baseIndex-1:last-l.baseIndex]...)
}

// offsetAfter returns the offset at the end of the entry at index, or the nearest
// one that is known.
func (l *entryLog) offsetAfter(index uint64) uint64 {
	index = min(index, l.lastIndex())
	if index <= l.baseIndex {
		return l.baseOffset
	}
	return l.endOffsets[index-l.baseIndex-1]
}

// bytesBetween returns the encoded size in bytes of the entries from first to last,
// both included. Entries that are not in memory count as empty.
func (l *entryLog) bytesBetween(first, last uint64) int {
	if first > last {
		return 0
	}
	return int(l.offsetAfter(last) - l.offsetAfter(first-1))
}

// nextBatch returns the entries from first on whose total size stays within
// maxBytes, but at least one if there is any.
func (l *entryLog) nextBatch(first uint64, maxBytes int) []*Entry {
	last := first - 1
	for last < l.lastIndex() && (last < first || l.bytesBetween(first, last+1) <= maxBytes) {
		last++
	}
	return l.entriesBetween(first, last)
}

func (l *entryLog) append(e *Entry) {
	l.endOffsets = append(l.endOffsets, l.offsetAfter(l.lastIndex())+uint64(proto.Size(e)))
	l.entries = append(l.entries, e)
	if e.GetKind() == EntryKind_MEMBERSHIP {
		l.memberships = append(l.memberships, indexedMembership{e.GetIndex(), membersOf(e.GetMembership())})
	}
}

// truncateAfter drops every entry after index.
func (l *entryLog) truncateAfter(index uint64) {
	keptCount := index - l.baseIndex
	clear(l.entries[keptCount:])
	l.entries = l.entries[:keptCount]
	l.endOffsets = l.endOffsets[:keptCount]
	l.syncedIndex = min(l.syncedIndex, index)
	for l.membershipIndex() > index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// resetTo replaces the log by an empty one that starts after the snapshot.
func (l *entryLog) resetTo(s *Snapshot) { *l = *newEntryLog(s, nil) }

// dropThrough drops the entries up to index, included.
func (l *entryLog) dropThrough(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.termAt(index)
	offset := l.offsetAfter(index)
	// New slices let the garbage collector free the dropped entries.
	l.entries = append([]*Entry(nil), l.entries[index-l.baseIndex:]...)
	l.endOffsets = append([]uint64(nil), l.endOffsets[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm, l.baseOffset = index, term, offset
	for len(l.memberships) > 1 && l.memberships[1].index <= index {
		l.memberships = l.memberships[1:]
	}
}

// members returns the membership in force: the last one in the log, committed
// or not.
func (l *entryLog) members() []Member { return l.memberships[len(l.memberships)-1].members }

func (l *entryLog) membershipIndex() uint64 { return l.memberships[len(l.memberships)-1].index }

// membersAt returns the membership in force at index.
func (l *entryLog) membersAt(index uint64) []Member {
	found := l.memberships[0].members
	for _, m := range l.memberships {
		if m.index <= index {
			found = m.members
		}
	}
	return found
}

func membersOf(membership *Membership) []Member {
	members := make([]Member, 0, len(membership.GetMembers()))
	for _, r := range membership.GetMembers() {
		members = append(members, NewMember(MemberConfig{
			ID: r.GetId(), Name: r.GetName(), Address: r.GetAddress(), Zone: r.GetZone(), Learner: r.GetLearner(),
		}))
	}
	return members
}

// MembershipOf encodes members as a Membership message.
func MembershipOf(members []Member) *Membership {
	record := &Membership{}
	for _, member := range members {
		record.Members = append(record.Members, &MemberRecord{
			Id: member.ID(), Name: member.Name(), Address: member.Address(), Zone: member.Zone(), Learner: member.Learner(),
		})
	}
	return record
}
