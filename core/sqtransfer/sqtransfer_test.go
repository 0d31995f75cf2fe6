package sqtransfer

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
)

// randomDocument returns a document that hardly becomes smaller when it is compressed.
func randomDocument(seed uint64, size int) []byte {
	rng := rand.New(rand.NewPCG(seed, 1))
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

// fetch takes pieces from the store until a version is complete.
func fetch(t *testing.T, s *Store, d *Download, wanted uint64) (uint64, []byte) {
	t.Helper()
	for range 1000 {
		r := d.Next(wanted)
		p, ok := s.Piece(r.Version, r.Offset, r.Size)
		assert.Assert(t, ok)
		complete, err := d.Add(p)
		assert.NilError(t, err)
		if complete {
			version := d.Version()
			document, err := d.Document()
			assert.NilError(t, err)
			return version, document
		}
	}
	t.Fatal("the document is never complete")
	return 0, nil
}

// TestTransferIsExact checks that documents of any length arrive as they were put.
func TestTransferIsExact(t *testing.T) {
	for _, size := range []int{0, 1, 100, MaxPieceBytes - 18, MaxPieceBytes, 5*MaxPieceBytes + 3} {
		var s Store
		var d Download
		document := randomDocument(uint64(size), size)
		s.Put(7, document)
		version, got := fetch(t, &s, &d, 7)
		assert.Equal(t, version, uint64(7))
		assert.Assert(t, bytes.Equal(got, document), "%d bytes", size)
	}
}

// TestTransferEndsDespiteQuickChanges fails if a version that changes before a transfer ends keeps all versions from arriving.
func TestTransferEndsDespiteQuickChanges(t *testing.T) {
	var s Store
	var d Download
	s.Put(1, randomDocument(1, 4*MaxPieceBytes))
	newest, arrived := uint64(1), 0
	for range 100 {
		r := d.Next(newest)
		p, ok := s.Piece(r.Version, r.Offset, r.Size)
		assert.Assert(t, ok)
		complete, err := d.Add(p)
		assert.NilError(t, err)
		if complete {
			_, err := d.Document()
			assert.NilError(t, err)
			arrived++
		}
		newest++
		s.Put(newest, randomDocument(newest, 4*MaxPieceBytes))
	}
	// Each version takes five pieces.
	assert.Equal(t, arrived, 20)
}

// TestTransferGoesOnAfterFailures checks that pieces that do not arrive are asked for again
// in smaller sizes, and that what arrived before is kept.
func TestTransferGoesOnAfterFailures(t *testing.T) {
	var s Store
	var d Download
	s.Put(1, randomDocument(1, 8*MaxPieceBytes))
	const linkBytes = minPieceBytes + 1
	for requests := 1; ; requests++ {
		assert.Assert(t, requests < 300)
		before := d.Received()
		r := d.Next(1)
		assert.Equal(t, r.Offset, before)
		if r.Size > linkBytes {
			d.Failed()
			continue
		}
		p, ok := s.Piece(r.Version, r.Offset, r.Size)
		assert.Assert(t, ok)
		complete, err := d.Add(p)
		assert.NilError(t, err)
		assert.Assert(t, d.Received() > before)
		if complete {
			return
		}
	}
}

// TestStoreKeepsNewestVersions checks which versions a store serves, and that it answers
// with the newest in place of one that it dropped.
func TestStoreKeepsNewestVersions(t *testing.T) {
	var s Store
	_, ok := s.Piece(0, 0, 0)
	assert.Assert(t, !ok)
	for v := uint64(1); v <= maxKeptVersions+4; v++ {
		s.Put(v, randomDocument(v, 100))
	}
	s.Put(3, randomDocument(3, 100))
	assert.Equal(t, len(s.kept), maxKeptVersions)
	p, ok := s.Piece(5, 10, 20)
	assert.Assert(t, ok && p.Version == 5 && p.Offset == 10 && len(p.Data) == 20)
	p, ok = s.Piece(4, 10, 20)
	assert.Assert(t, ok && p.Version == maxKeptVersions+4 && p.Offset == 0)
	p, ok = s.Piece(5, 1<<40, 20)
	assert.Assert(t, ok && p.Version == maxKeptVersions+4 && p.Offset == 0)
	_, ok = s.Piece(maxKeptVersions+5, 0, 20)
	assert.Assert(t, !ok)
}

// TestStoreLimitsMemory checks that a store of large versions keeps the newest alone.
func TestStoreLimitsMemory(t *testing.T) {
	var s Store
	s.Put(1, randomDocument(1, maxKeptBytes))
	s.Put(2, randomDocument(2, maxKeptBytes))
	assert.Equal(t, len(s.kept), 1)
	assert.Equal(t, s.Newest(), uint64(2))
	assert.Equal(t, s.bytes, len(s.kept[0].data))
}

// TestDownloadRefusesDamage checks that pieces that do not fit and damaged documents are
// errors after which the download begins anew.
func TestDownloadRefusesDamage(t *testing.T) {
	good := Piece{Version: 2, Total: 10, Data: []byte("01234")}
	for name, p := range map[string]Piece{
		"another version": {Version: 3, Offset: 5, Total: 10, Data: []byte("5")},
		"a gap":           {Version: 2, Offset: 6, Total: 10, Data: []byte("6")},
		"another total":   {Version: 2, Offset: 5, Total: 11, Data: []byte("5")},
		"empty":           {Version: 2, Offset: 5, Total: 10},
		"too long":        {Version: 2, Offset: 5, Total: 10, Data: []byte("567890")},
		"too large":       {Version: 2, Offset: 0, Total: maxEncodedBytes + 1, Data: []byte("0")},
	} {
		t.Run(name, func(t *testing.T) {
			var d Download
			_, err := d.Add(good)
			assert.NilError(t, err)
			_, err = d.Add(p)
			assert.Equal(t, sqerror.KindOf(err), sqerror.BadResponse)
			assert.Equal(t, d.Received(), 0)
		})
	}
	var d Download
	complete, err := d.Add(Piece{Version: 2, Total: 5, Data: []byte("01234")})
	assert.NilError(t, err)
	assert.Assert(t, complete)
	_, err = d.Document()
	assert.Equal(t, sqerror.KindOf(err), sqerror.BadResponse)
}
