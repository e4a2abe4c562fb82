package m3ua

import (
	"io"
)

// Scanner divides a stream into frames. Its buffer has a fixed size of at least MaxFrame, so a peer that never completes a
// frame costs no more memory.
type Scanner struct {
	reader io.Reader
	buf    []byte
	start  int
	end    int
}

// NewScanner returns a Scanner that reads from reader.
func NewScanner(reader io.Reader) *Scanner {
	return &Scanner{reader: reader, buf: make([]byte, 16*1024)}
}

// Next returns the next frame, which is valid until the next call. It returns io.EOF when the stream ends between two frames,
// io.ErrUnexpectedEOF when it ends within one, and the error of Length for an invalid message length.
func (s *Scanner) Next() ([]byte, error) {
	for {
		if buffered := s.end - s.start; buffered >= HeaderLen {
			n, err := Length(s.buf[s.start:s.end])
			if err != nil {
				return nil, err
			}
			if buffered >= n {
				frame := s.buf[s.start : s.start+n : s.start+n]
				s.start += n
				return frame, nil
			}
		}
		if s.start > 0 && (s.start == s.end || len(s.buf)-s.start < MaxFrame) {
			s.end = copy(s.buf, s.buf[s.start:s.end])
			s.start = 0
		}
		n, err := s.reader.Read(s.buf[s.end:])
		s.end += n
		if n == 0 && err != nil {
			if err == io.EOF && s.end > s.start {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// Buffered reports whether Next can return without reading from the stream: a complete frame is buffered, or an invalid
// message length.
func (s *Scanner) Buffered() bool {
	buffered := s.end - s.start
	if buffered < HeaderLen {
		return false
	}
	n, err := Length(s.buf[s.start:s.end])
	return err != nil || buffered >= n
}
