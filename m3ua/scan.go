package m3ua

import (
	"io"
)

// Scanner cuts a stream into frames. Its buffer holds one frame at the least and MaxFrame octets at the most, so a peer
// that never ends a frame costs no more than that.
type Scanner struct {
	r    io.Reader
	buf  []byte
	from int
	to   int
}

// NewScanner makes a Scanner that reads from r.
func NewScanner(r io.Reader) *Scanner { return &Scanner{r: r, buf: make([]byte, 16*1024)} }

// Next returns the next frame, which lives until the next call. It returns io.EOF at the end of the stream between two
// frames, io.ErrUnexpectedEOF within one, and the error of Length when the stream cannot be framed.
func (s *Scanner) Next() ([]byte, error) {
	for {
		if have := s.to - s.from; have >= HeaderLen {
			n, err := Length(s.buf[s.from:s.to])
			if err != nil {
				return nil, err
			}
			if have >= n {
				f := s.buf[s.from : s.from+n : s.from+n]
				s.from += n
				return f, nil
			}
		}
		if s.from > 0 && (s.from == s.to || len(s.buf)-s.from < MaxFrame) {
			s.to = copy(s.buf, s.buf[s.from:s.to])
			s.from = 0
		}
		n, err := s.r.Read(s.buf[s.to:])
		s.to += n
		if n == 0 && err != nil {
			if err == io.EOF && s.to > s.from {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// Buffered tells whether a further whole frame is at hand without a read.
func (s *Scanner) Buffered() bool {
	have := s.to - s.from
	if have < HeaderLen {
		return false
	}
	n, err := Length(s.buf[s.from:s.to])
	return err != nil || have >= n
}
