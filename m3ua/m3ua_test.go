package m3ua

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"testing"
	"testing/iotest"
	"time"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(s)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Frames written octet by octet after the layouts in RFC 4666, 3.3 to 3.8.
var sampleFrames = []struct {
	name string
	hex  string
	msg  Message
}{
	{"DATA", "01000101" + "00000028" + "00060008" + "00000007" + "02100015" + "00000102" + "00000203" + "05020009" + "0102030405" + "000000",
		Message{Kind: DATA, HasRoutingContext: true, RoutingContext: 7, Data: ProtocolData{OPC: 0x102, DPC: 0x203, SI: 5, NI: 2, SLS: 9, User: []byte{1, 2, 3, 4, 5}}}},
	{"DUNA", "01000201" + "00000014" + "0012000c" + "00000102" + "03000200",
		Message{Kind: DUNA, Affected: []Affected{{0, 0x102}, {3, 0x200}}}},
	{"SCON", "01000204" + "00000018" + "00120008" + "00000005" + "02050008" + "00000002",
		Message{Kind: SCON, Affected: []Affected{{0, 5}}, CongestionLevel: 2}},
	{"ASPUP", "01000301" + "00000010" + "00110008" + "0000002a", Message{Kind: ASPUP, HasASPID: true, ASPID: 42}},
	{"BEAT", "01000303" + "00000010" + "00090006" + "abcd0000", Message{Kind: BEAT, Heartbeat: []byte{0xab, 0xcd}}},
	{"ASPAC", "01000401" + "00000018" + "000b0008" + "00000002" + "00060008" + "00000001",
		Message{Kind: ASPAC, TrafficMode: TrafficLoadshare, HasRoutingContext: true, RoutingContext: 1}},
	{"NTFY", "01000001" + "00000010" + "000d0008" + "00010003", Message{Kind: NTFY, StatusType: 1, StatusInfo: 3}},
	{"ERR", "01000000" + "00000010" + "000c0008" + "00000006", Message{Kind: ERR, ErrorCode: ErrUnexpectedMessage}},
}

// TestCodecMatchesRFCLayouts guards against an encoder and a decoder that agree with each other but not with RFC 4666.
func TestCodecMatchesRFCLayouts(t *testing.T) {
	for _, f := range sampleFrames {
		b := unhex(t, f.hex)
		if f.name == "DATA" { // header, routing context and padded Protocol Data: 8 + 8 + 24 octets
			binary.BigEndian.PutUint32(b[4:], uint32(len(b)))
		}
		var m Message
		if err := Decode(b, &m); err != nil {
			t.Errorf("%s: %v", f.name, err)
			continue
		}
		if got := Append(nil, &m); !bytes.Equal(got, b) {
			t.Errorf("%s: encoded as %x, want %x", f.name, got, b)
		}
		if len(m.Affected) == 0 {
			m.Affected = nil
		}
		if !reflect.DeepEqual(m, f.msg) {
			t.Errorf("%s: decoded as %+v, want %+v", f.name, m, f.msg)
		}
	}
}

// TestMalformedFrameGivesErrorCode guards against a malformed frame that is accepted or answered with the wrong error code.
func TestMalformedFrameGivesErrorCode(t *testing.T) {
	for name, c := range map[string]struct {
		hex  string
		code uint32
	}{
		"version":                    {"02000303" + "00000008", ErrInvalidVersion},
		"class":                      {"01000903" + "00000008", ErrUnsupportedMessageClass},
		"type":                       {"01000309" + "00000008", ErrUnsupportedMessageType},
		"wrong length":               {"01000303" + "0000000c", ErrProtocol},
		"parameter too long":         {"01000303" + "00000010" + "000900ff" + "00000000", ErrParameterFieldError},
		"parameter of 3 octets":      {"01000303" + "00000010" + "00090003" + "00000000", ErrParameterFieldError},
		"DATA without Protocol Data": {"01000101" + "00000008", ErrMissingParameter},
		"short routing label":        {"01000101" + "00000010" + "02100008" + "00000000", ErrParameterFieldError},
		"DUNA without point code":    {"01000201" + "00000008", ErrMissingParameter},
	} {
		var m Message
		err := Decode(unhex(t, c.hex), &m)
		var e *Error
		if !errors.As(err, &e) || e.Code != c.code {
			t.Errorf("%s: error %v, want code %#x", name, err, c.code)
		}
	}
}

// TestScannerSplitsFramesAtAnyReadSize guards against frames that are lost or merged when reads and frames do not coincide, and
// against a wrong length field being accepted.
func TestScannerSplitsFramesAtAnyReadSize(t *testing.T) {
	var stream []byte
	for _, f := range sampleFrames[1:] {
		stream = append(stream, unhex(t, f.hex)...)
	}
	for name, r := range map[string]io.Reader{
		"at once":  bytes.NewReader(stream),
		"one byte": iotest.OneByteReader(bytes.NewReader(stream)),
		"halves":   iotest.HalfReader(bytes.NewReader(stream)),
	} {
		s := NewScanner(r)
		for i, f := range sampleFrames[1:] {
			got, err := s.Next()
			if err != nil || !bytes.Equal(got, unhex(t, f.hex)) {
				t.Fatalf("%s: frame %d is %x, %v", name, i, got, err)
			}
		}
		if _, err := s.Next(); err != io.EOF {
			t.Errorf("%s: the stream ended with error %v, want io.EOF", name, err)
		}
	}
	if _, err := NewScanner(bytes.NewReader(unhex(t, "0100030300ffffff"))).Next(); err != ErrTooLong {
		t.Errorf("a length of 16 million octets gives %v, want ErrTooLong", err)
	}
	if _, err := NewScanner(bytes.NewReader(unhex(t, "0100030300000002"))).Next(); err == nil {
		t.Error("a length below that of the common header is accepted")
	}
	if _, err := NewScanner(bytes.NewReader(stream[:len(stream)-3])).Next(); err != nil {
		t.Error(err)
	}
	if _, err := NewScanner(bytes.NewReader(stream[:13])).Next(); err != io.ErrUnexpectedEOF {
		t.Errorf("a truncated frame gives %v, want io.ErrUnexpectedEOF", err)
	}
}

// TestScannerKeepsFramesWhenBufferIsCompacted reads a stream much longer than the scanner's buffer. It guards against octets that
// are lost or doubled when the rest of the buffer moves to its start.
func TestScannerKeepsFramesWhenBufferIsCompacted(t *testing.T) {
	var stream []byte
	for i := range 5000 {
		stream = Append(stream, &Message{Kind: BEAT, Heartbeat: make([]byte, i%97+1)})
	}
	s := NewScanner(iotest.HalfReader(bytes.NewReader(stream)))
	var m Message
	for i := range 5000 {
		f, err := s.Next()
		if err != nil {
			t.Fatal(i, err)
		}
		if err := Decode(f, &m); err != nil || len(m.Heartbeat) != i%97+1 {
			t.Fatal(i, err, len(m.Heartbeat))
		}
	}
}

// FuzzDecode guards against a panic, and against a decoded message that cannot be encoded or changes when it is decoded again.
func FuzzDecode(f *testing.F) {
	for _, x := range sampleFrames {
		f.Add(unhex(f, x.hex))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m, again Message
		if err := Decode(b, &m); err != nil {
			return
		}
		once := Append(nil, &m)
		if err := Decode(once, &again); err != nil {
			t.Fatalf("the encoded message cannot be decoded: %v\n%x\n%x", err, b, once)
		}
		if twice := Append(nil, &again); !bytes.Equal(once, twice) {
			t.Fatalf("decoding and encoding again changes the frame:\n%x\n%x", once, twice)
		}
	})
}

// FuzzScanner guards against frames or errors that depend on the size of the reads.
func FuzzScanner(f *testing.F) {
	f.Add([]byte{1, 0, 3, 3, 0, 0, 0, 8, 1, 0, 3, 3, 0, 0, 0, 8}, 3)
	f.Fuzz(func(t *testing.T, b []byte, step int) {
		one, many := NewScanner(bytes.NewReader(b)), NewScanner(iotest.OneByteReader(bytes.NewReader(b)))
		for {
			x, err := one.Next()
			y, err2 := many.Next()
			if !bytes.Equal(x, y) || err != err2 && (err == nil || err2 == nil) {
				t.Fatalf("read at once: %x %v, octet by octet: %x %v", x, err, y, err2)
			}
			if err != nil {
				return
			}
		}
	})
}

// linkedPair is an ASP and an SGP; exchangeFrames passes their frames to each other without delay.
type linkedPair struct {
	t        *testing.T
	asp, sgp *ASP
	now      time.Duration
	outcomes []Outcome // of the ASP
}

func (p *linkedPair) exchangeFrames() {
	p.t.Helper()
	for len(p.asp.Out)+len(p.sgp.Out) > 0 {
		for _, from := range []*ASP{p.asp, p.sgp} {
			to := p.asp
			if from == p.asp {
				to = p.sgp
			}
			out := from.Out
			from.Out = nil
			s := NewScanner(bytes.NewReader(out))
			for {
				f, err := s.Next()
				if err != nil {
					break
				}
				var m Message
				if err := Decode(f, &m); err != nil {
					p.t.Fatal(err)
				}
				if o := to.Handle(p.now, &m); to == p.asp && o != Nothing {
					p.outcomes = append(p.outcomes, o)
				}
			}
		}
	}
}

// TestAssociationActivatesStaysActiveAndCloses follows the two ends of one association from ASPUP to ASPDN. It guards against
// ends that disagree about the state, and against a time-out while both answer.
func TestAssociationActivatesStaysActiveAndCloses(t *testing.T) {
	p := &linkedPair{t: t, asp: NewASP(Timers{}, 7, 1, 0), sgp: NewSGP(Timers{}, 0)}
	p.exchangeFrames()
	if p.asp.State() != Active || p.sgp.State() != Active || p.sgp.ID() != 7 {
		t.Fatalf("asp %v, sgp %v with id %d", p.asp.State(), p.sgp.State(), p.sgp.ID())
	}
	for range 100 { // acknowledged heartbeats keep the association active
		p.now = min(p.asp.NextDeadline(), p.sgp.NextDeadline())
		if p.asp.Tick(p.now) != Nothing || p.sgp.Tick(p.now) != Nothing {
			t.Fatalf("association failed at %v", p.now)
		}
		p.exchangeFrames()
	}
	p.asp.Close()
	p.exchangeFrames()
	if p.sgp.State() != Down {
		t.Error("the SGP is not down after ASPDN")
	}
}

// TestPeerWithoutRequestOrAckFails guards against an association that waits forever for a peer that opened or accepted the
// connection but sends neither a request nor an acknowledgement.
func TestPeerWithoutRequestOrAckFails(t *testing.T) {
	for name, a := range map[string]*ASP{"asp": NewASP(Timers{Beat: time.Hour}, 1, 1, 0), "sgp": NewSGP(Timers{Beat: time.Hour}, 0)} {
		var now time.Duration
		for a.Tick(now) != Failed {
			next := a.NextDeadline()
			if next <= now {
				t.Fatalf("%s: no progress at %v", name, now)
			}
			if now = next; now > 10*time.Second {
				t.Fatalf("%s: still waiting for the peer after %v", name, now)
			}
		}
	}
}

// TestUnresponsivePeerFailsAfterBeatLimit guards against an association that stays up although nothing is received from the peer,
// and against one that fails before BeatLimit.
func TestUnresponsivePeerFailsAfterBeatLimit(t *testing.T) {
	p := &linkedPair{t: t, asp: NewASP(Timers{Beat: time.Second}, 1, 1, 0), sgp: NewSGP(Timers{}, 0)}
	p.exchangeFrames()
	for p.now = 0; p.now < 1900*time.Millisecond; p.now += 100 * time.Millisecond {
		if p.asp.Tick(p.now) != Nothing {
			t.Fatal("association failed before the beat limit of 2 s")
		}
	}
	p.now = 2 * time.Second
	if p.asp.Tick(p.now) != Failed {
		t.Error("association still up after 2 s without any message, twice the heartbeat interval")
	}
}

// TestServerRefusesTrafficOutsideActiveState guards against DATA that is delivered before the ASP is active, and against traffic
// that continues after an ASPUP from an active ASP, which means that it has restarted.
func TestServerRefusesTrafficOutsideActiveState(t *testing.T) {
	g := NewSGP(Timers{}, 0)
	if o := g.Handle(0, &Message{Kind: DATA}); o != Nothing || len(g.Out) == 0 {
		t.Errorf("DATA from an ASP that is down: outcome %v, want Nothing and an ERR", o)
	}
	g.Handle(0, &Message{Kind: ASPUP})
	if g.Handle(0, &Message{Kind: ASPAC}) != Activated {
		t.Fatal("an ASPAC after the ASPUP does not activate the ASP")
	}
	if g.Handle(0, &Message{Kind: ASPUP}) != Deactivated || g.State() != Inactive {
		t.Error("an ASPUP from an active ASP does not stop its traffic")
	}
}

// referenceDecode is a simple decoder for comparison in benchmarks: it copies each parameter value into a map.
func referenceDecode(frame []byte) (map[uint16][]byte, ProtocolData) {
	params := map[uint16][]byte{}
	for at := HeaderLen; at+4 <= len(frame); {
		n := int(binary.BigEndian.Uint16(frame[at+2:]))
		params[binary.BigEndian.Uint16(frame[at:])] = append([]byte(nil), frame[at+4:at+n]...)
		at += (n + 3) &^ 3
	}
	v := params[tagProtocolData]
	return params, ProtocolData{binary.BigEndian.Uint32(v), binary.BigEndian.Uint32(v[4:]), v[8], v[9], v[10], v[11], v[12:]}
}

func BenchmarkDecode(b *testing.B) {
	frame := Append(nil, &Message{Kind: DATA, HasRoutingContext: true, RoutingContext: 1, Data: ProtocolData{OPC: 1, DPC: 2, SI: 5, User: make([]byte, 50)}})
	b.Run("Decode", func(b *testing.B) {
		b.ReportAllocs()
		var m Message
		for b.Loop() {
			if err := Decode(frame, &m); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("reference", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			referenceDecode(frame)
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	m := Message{Kind: DATA, HasRoutingContext: true, RoutingContext: 1, Data: ProtocolData{OPC: 1, DPC: 2, SI: 5, User: make([]byte, 50)}}
	buf := make([]byte, 0, 256)
	b.ReportAllocs()
	for b.Loop() {
		buf = Append(buf[:0], &m)
	}
}
