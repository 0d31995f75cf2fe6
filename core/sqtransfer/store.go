package sqtransfer

const (
	// maxKeptVersions and maxKeptBytes limit the versions that a store keeps, so that
	// transfers can end that began before the newest version. The newest is always kept.
	maxKeptVersions = 16
	maxKeptBytes    = 16 << 20
)

// Store holds the compressed forms of the last versions of a document. It is not safe
// for concurrent use.
type Store struct {
	// kept is sorted by version.
	kept  []encodedVersion
	bytes int
}

type encodedVersion struct {
	version uint64
	data    []byte
}

// Newest returns the newest version that the store holds, or 0.
func (s *Store) Newest() uint64 {
	if len(s.kept) == 0 {
		return 0
	}
	return s.kept[len(s.kept)-1].version
}

// Put adds a version, unless one as new is there.
func (s *Store) Put(version uint64, document []byte) {
	if version <= s.Newest() {
		return
	}
	data := Encode(document)
	s.kept = append(s.kept, encodedVersion{version: version, data: data})
	s.bytes += len(data)
	for len(s.kept) > 1 && (len(s.kept) > maxKeptVersions || s.bytes > maxKeptBytes) {
		s.bytes -= len(s.kept[0].data)
		s.kept = s.kept[1:]
	}
}

// Piece returns the piece of a version that begins at the offset and has at most the
// given number of bytes. If the store does not hold the version, it returns the first
// piece of the newest one. It returns false if it has no version that is as new.
func (s *Store) Piece(version uint64, offset, size int) (Piece, bool) {
	if version > s.Newest() || len(s.kept) == 0 {
		return Piece{}, false
	}
	e := s.kept[len(s.kept)-1]
	start := 0
	for _, k := range s.kept {
		if k.version == version && offset >= 0 && offset < len(k.data) {
			e, start = k, offset
		}
	}
	if size <= 0 || size > MaxPieceBytes {
		size = MaxPieceBytes
	}
	end := min(len(e.data), start+size)
	return Piece{Version: e.version, Offset: start, Total: len(e.data), Data: e.data[start:end]}, true
}
