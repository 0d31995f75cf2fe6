package sqlink

// Framing tells how the end of a response body is marked.
type Framing int

// Framings of a response body.
const (
	// LengthFraming is a length in the headers, or a response that has no body.
	LengthFraming Framing = iota
	// ChunkedFraming is the chunked transfer coding, whose last chunk is the end.
	ChunkedFraming
	// CloseFraming marks the end by the end of the connection only.
	CloseFraming
)

// MarksEnd reports whether a complete body can be told from one that broke off.
func (f Framing) MarksEnd() bool { return f != CloseFraming }

// String returns the framing's name in logs.
func (f Framing) String() string { return [...]string{"length", "chunked", "close"}[f] }
