// Package streambuf buffers a stream for decoders that split it into messages of bounded length.
package streambuf

import (
	"errors"
	"io"
)

// ErrTooLong means that a message is not complete within the maximum length.
var ErrTooLong = errors.New("message exceeds the maximum length")

// Buffer holds bytes that have been read and not yet discarded. Its memory grows with the longest message, up to the maximum
// length of a message.
type Buffer struct {
	r          io.Reader
	buf        []byte
	maxLen     int
	beforeRead func(bool)
}

// New returns a Buffer that reads from r; maxLen is the maximum length of a message in bytes. beforeRead, if not nil, is called
// before each read with whether part of a message is buffered, so that the caller can set a deadline for the rest of a message.
func New(r io.Reader, maxLen int, beforeRead func(bool)) *Buffer {
	return &Buffer{r: r, maxLen: maxLen, beforeRead: beforeRead, buf: make([]byte, 0, min(maxLen, 1024))}
}

// Bytes returns the buffered bytes, which are valid until the next Fill or Discard.
func (b *Buffer) Bytes() []byte { return b.buf }

// Discard removes the first n bytes.
func (b *Buffer) Discard(n int) { b.buf = b.buf[:copy(b.buf, b.buf[n:])] }

// Fill reads more bytes. At the end of the stream it returns io.ErrUnexpectedEOF if part of a message is buffered, and otherwise
// io.EOF.
func (b *Buffer) Fill() error {
	if len(b.buf) >= b.maxLen {
		return ErrTooLong
	}
	if b.beforeRead != nil {
		b.beforeRead(len(b.buf) > 0)
	}
	if len(b.buf) == cap(b.buf) {
		grown := make([]byte, len(b.buf), min(2*cap(b.buf), b.maxLen))
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
