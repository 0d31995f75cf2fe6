package sqtransfer

// Download collects the pieces of one version of a document. It is not safe for
// concurrent use.
type Download struct {
	version uint64
	total   int
	data    []byte
	// pieceBytes is the size of the pieces to ask for, or 0 for the usual size.
	pieceBytes int
}

// Request says which piece a download needs next. The size is at most so many bytes.
type Request struct {
	Version      uint64
	Offset, Size int
}

// Next returns the next piece of the version that is being received, or the first piece
// of the wanted version if none is. A version that is overtaken while it is received is
// received to its end, so that quick changes do not keep all versions from arriving.
func (d *Download) Next(wanted uint64) Request {
	if d.pieceBytes == 0 {
		d.pieceBytes = MaxPieceBytes
	}
	if len(d.data) == 0 {
		return Request{Version: wanted, Size: d.pieceBytes}
	}
	return Request{Version: d.version, Offset: len(d.data), Size: d.pieceBytes}
}

// Received returns how many bytes of the version have arrived.
func (d *Download) Received() int { return len(d.data) }

// Failed records that a piece did not arrive. The next one is asked for with half of the
// size, so that slow links get some through within the sender's timeout.
func (d *Download) Failed() { d.pieceBytes = max(d.pieceBytes/2, minPieceBytes) }

// Add adds a piece and reports whether the version is complete. A piece of another version
// begins that version. The error is of kind BadResponse; the download then begins anew.
func (d *Download) Add(p Piece) (complete bool, err error) {
	if p.Offset == 0 {
		d.version, d.total, d.data = p.Version, p.Total, nil
	}
	switch {
	case p.Version != d.version || p.Offset != len(d.data) || p.Total != d.total:
		d.Reset()
		return false, badPiece("the piece does not follow the ones before it", nil)
	case len(p.Data) == 0 || p.Total > maxEncodedBytes || len(d.data)+len(p.Data) > p.Total:
		d.Reset()
		return false, badPiece("the piece is empty or too long", nil)
	}
	d.data = append(d.data, p.Data...)
	d.pieceBytes = min(2*max(d.pieceBytes, minPieceBytes), MaxPieceBytes)
	return len(d.data) == d.total, nil
}

// Version returns the version that is being received, or 0.
func (d *Download) Version() uint64 { return d.version }

// Document returns the document of a complete version, with an error of kind
// BadResponse if it is damaged, and makes the download ready for another version.
func (d *Download) Document() ([]byte, error) {
	data := d.data
	d.Reset()
	return Decode(data)
}

// Reset drops what has arrived.
func (d *Download) Reset() { d.version, d.total, d.data = 0, 0, nil }
