// Package streambuf buffers a stream for decoders that cut it into messages of bounded length.
package streambuf

import (
	"errors"
	"io"
)

// ErrTooLong tells of a message that is not whole within the most octets that one may have.
var ErrTooLong = errors.New("a message that is too long")

// Buffer holds what has been read and not yet taken. Its memory grows with the longest message, up to the most octets.
type Buffer struct {
	r     io.Reader
	buf   []byte
	most  int
	begun func(bool)
}

// New reads from r. begun, if set, is called before each read with whether part of a message is there, so that a message
// that has begun can be given a time limit.
func New(r io.Reader, most int, begun func(bool)) *Buffer {
	return &Buffer{r: r, most: most, begun: begun, buf: make([]byte, 0, min(most, 1024))}
}

// Bytes are the octets there, valid until the next Fill or Take.
func (b *Buffer) Bytes() []byte { return b.buf }

// Discard takes the first n octets off.
func (b *Buffer) Discard(n int) { b.buf = b.buf[:copy(b.buf, b.buf[n:])] }

// Fill reads more. With part of a message there the end of the stream is io.ErrUnexpectedEOF.
func (b *Buffer) Fill() error {
	if len(b.buf) >= b.most {
		return ErrTooLong
	}
	if b.begun != nil {
		b.begun(len(b.buf) > 0)
	}
	if len(b.buf) == cap(b.buf) {
		grown := make([]byte, len(b.buf), min(2*cap(b.buf), b.most))
		copy(grown, b.buf)
		b.buf = grown
	}
	n, err := b.r.Read(b.buf[len(b.buf):cap(b.buf)])
	b.buf = b.buf[:len(b.buf)+n]
	switch {
	case n > 0:
		return nil
	case errors.Is(err, io.EOF) && len(b.buf) > 0:
		return io.ErrUnexpectedEOF
	case err == nil:
		return io.ErrNoProgress
	}
	return err
}
