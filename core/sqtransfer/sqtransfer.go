// Package sqtransfer moves the versions of a document from one process to many, in
// compressed pieces. A transfer that fails goes on at the piece that is missing, so that
// it ends on any link that lets the smallest piece through.
package sqtransfer

import (
	"bytes"
	"compress/gzip"
	"io"

	"sequoiadock/core/sqerror"
)

const (
	// MaxPieceBytes is the size of a piece if the receiver asks for no smaller ones.
	MaxPieceBytes = 32 << 10
	// minPieceBytes is the smallest size that a receiver asks for.
	minPieceBytes = 4 << 10
	// maxEncodedBytes and maxDocumentBytes limit a document that is received, compressed
	// and not.
	maxEncodedBytes  = 32 << 20
	maxDocumentBytes = 32 << 20
)

// Piece is a part of the compressed form of a version of a document.
type Piece struct {
	Version uint64
	// Offset is the position of Data in the compressed form, Total the length of that form.
	Offset, Total int
	Data          []byte
}

// Encode returns the compressed form of a document. The fastest level makes tables of
// routes fifteen times smaller; the others save little more.
func Encode(document []byte) []byte {
	var b bytes.Buffer
	// The level is valid, and writing to a bytes.Buffer never fails.
	w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	_, _ = w.Write(document)
	_ = w.Close()
	return b.Bytes()
}

// Decode returns the document of a compressed form. The error is of kind BadResponse.
func Decode(encoded []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(encoded))
	if err != nil {
		return nil, badPiece("the document is not compressed", err)
	}
	document, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return nil, badPiece("the compressed document is damaged", err)
	}
	if len(document) > maxDocumentBytes {
		return nil, badPiece("the document is too long", nil)
	}
	return document, nil
}

func badPiece(detail string, cause error) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.BadResponse, Detail: detail, Cause: cause})
}
