package m3ua

import (
	"io"
)

// Scanner cuts a stream into frames. Its buffer holds one frame at the least and MaxFrame octets at the most, so a peer
// that never ends a frame costs no more than that.
type Scanner struct {
	reader io.Reader
	buf    []byte
	start  int
	end    int
}

// NewScanner makes a Scanner that reads from r.
func NewScanner(reader io.Reader) *Scanner {
	return &Scanner{reader: reader, buf: make([]byte, 16*1024)}
}

// Next returns the next frame, which lives until the next call. It returns io.EOF at the end of the stream between two
// frames, io.ErrUnexpectedEOF within one, and the error of Length when the stream cannot be framed.
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

// Buffered tells whether a further whole frame is at hand without a read.
func (s *Scanner) Buffered() bool {
	buffered := s.end - s.start
	if buffered < HeaderLen {
		return false
	}
	n, err := Length(s.buf[s.start:s.end])
	return err != nil || buffered >= n
}
