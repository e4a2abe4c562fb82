package isup

import (
	"bytes"
	"encoding/hex"
	"flag"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Sets a fixed seed, so that each run draws the same cases. For other cases: go test -args -rapid.seed=N -rapid.checks=N.
func init() { flag.Set("rapid.seed", "1") }

func mustParseNumber(t testing.TB, digits string) Number {
	t.Helper()
	n, err := ParseNumber(4, digits)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Messages written octet by octet after the tables of Q.763: CIC, type, fixed part, pointers, variable part, optional part.
var samples = []struct {
	name, hex string
	msg       Message
}{
	{"IAM", "2301" + "01" + "00" + "6000" + "0a" + "03" + "02" + "07" + "05" + "84" + "10" + "214305" + // odd number of digits: 5
		"0a04" + "0413" + "8967" + "0105" + "010203" + "0510" + "3d01" + "14" + "00",
		Message{CIC: 0x123, Type: IAM, ForwardIndicators: 0x60, Category: CategoryOrdinary, TransmissionMedium: 3, HasCalling: true, HasRef: true,
			Ref: CallReference{0x010203, 0x1005}, HasHops: true, Hops: 20}},
	{"ACM", "0100" + "06" + "1604" + "00", Message{CIC: 1, Type: ACM, BackwardIndicators: 0x0416}},
	{"ANM", "0100" + "09" + "00", Message{CIC: 1, Type: ANM}},
	{"CON", "0100" + "07" + "1604" + "00", Message{CIC: 1, Type: CON, BackwardIndicators: 0x0416}},
	{"REL", "0100" + "0c" + "0200" + "02" + "84aa", Message{CIC: 1, Type: REL, Location: LocationNetwork, Cause: CauseCongestion}},
	{"REL with level", "0100" + "0c" + "0204" + "02" + "84aa" + "270102" + "00",
		Message{CIC: 1, Type: REL, Location: LocationNetwork, Cause: CauseCongestion, CongestionLevel: 2}},
	{"RLC", "0100" + "10" + "00", Message{CIC: 1, Type: RLC}},
	{"RSC", "ff0f" + "12", Message{CIC: MaxCIC, Type: RSC}},
	{"BLO", "0100" + "13", Message{CIC: 1, Type: BLO}},
	{"UBL", "0100" + "14", Message{CIC: 1, Type: UBL}},
	{"BLA", "0100" + "15", Message{CIC: 1, Type: BLA}},
	{"UBA", "0100" + "16", Message{CIC: 1, Type: UBA}},
	{"GRS", "0100" + "17" + "01" + "01" + "1f", Message{CIC: 1, Type: GRS, Range: 31, Status: []byte{}}},
	{"GRA", "0100" + "29" + "01" + "05" + "1f" + "00000080", Message{CIC: 1, Type: GRA, Range: 31, Status: []byte{0, 0, 0, 0x80}}},
	{"CGB", "0100" + "18" + "01" + "01" + "02" + "03" + "05", Message{CIC: 1, Type: CGB, Supervision: Hardware, Range: 3, Status: []byte{5}}},
	{"CQM", "0100" + "2a" + "01" + "01" + "01", Message{CIC: 1, Type: CQM, Range: 1, Status: []byte{}}},
	{"CQR", "0100" + "2b" + "0203" + "01" + "01" + "02" + "0c04", Message{CIC: 1, Type: CQR, Range: 1, Status: []byte{}, Circuits: []byte{0x0c, 0x04}}},
	{"CPG", "0100" + "2c" + "01" + "00", Message{CIC: 1, Type: CPG, EventInformation: 1}},
}

// TestCodecMatchesQ763Formats guards against an encoder and a decoder that agree with each other but not with Q.763.
func TestCodecMatchesQ763Formats(t *testing.T) {
	for _, s := range samples {
		b, err := hex.DecodeString(s.hex)
		if err != nil {
			t.Fatal(s.name, err)
		}
		want := s.msg
		if s.name == "IAM" {
			want.Called, want.Calling = mustParseNumber(t, "12345"), mustParseNumber(t, "9876")
		}
		var m Message
		if err := Decode(b, &m); err != nil {
			t.Errorf("%s: %v", s.name, err)
			continue
		}
		if got := Append(nil, &m); !bytes.Equal(got, b) {
			t.Errorf("%s: encoded as %x, want %x", s.name, got, b)
		}
		if m.Optional = nil; !reflect.DeepEqual(m, want) {
			t.Errorf("%s: decoded as %+v, want %+v", s.name, m, want)
		}
	}
}

// TestTruncatedAndInconsistentMessagesAreRefused guards against a read past the end of a message that is truncated at any
// octet, and against pointers, lengths and ranges that do not fit the message being accepted.
func TestTruncatedAndInconsistentMessagesAreRefused(t *testing.T) {
	var m Message
	for _, s := range samples {
		b, _ := hex.DecodeString(s.hex)
		for n := range b {
			cut := append(make([]byte, 0, n), b[:n]...)
			err := Decode(cut, &m)
			if n < 3 && err == nil {
				t.Errorf("%s truncated to %d octets is accepted", s.name, n)
			}
		}
	}
	for problem, encoded := range map[string]string{
		"pointer past the end":          "0100" + "0c" + "0900" + "02" + "84aa",
		"no end of optional parameters": "0100" + "0c" + "0204" + "02" + "84aa" + "270102",
		"optional parameter too long":   "0100" + "09" + "01" + "27ff02" + "00",
		"range of 40":                   "0100" + "17" + "01" + "01" + "28",
		"too few circuit states":        "0100" + "2b" + "0203" + "01" + "01" + "01" + "0c",
		"status too short":              "0100" + "18" + "01" + "01" + "02" + "1f" + "05",
		"unknown type":                  "0100" + "99",
		"cause of one octet":            "0100" + "0c" + "0200" + "01" + "84",
	} {
		b, _ := hex.DecodeString(encoded)
		if err := Decode(b, &m); err == nil {
			t.Errorf("%s: accepted", problem)
		}
	}
}

// TestParseNumberRoundTripsAndRefusesInvalid guards against digits that are lost or changed, and against a number that is too
// long or has other characters being accepted.
func TestParseNumberRoundTripsAndRefusesInvalid(t *testing.T) {
	for _, d := range []string{"", "1", "12", "123456789012345678901234", "0bcf"} {
		if n := mustParseNumber(t, d); n.String() != d || n.Len() != len(d) {
			t.Errorf("%q parsed as %q", d, n)
		}
	}
	for _, d := range []string{"12 3", "a", "1234567890123456789012345"} {
		if _, err := ParseNumber(4, d); err == nil {
			t.Errorf("%q accepted as a number", d)
		}
	}
}

// TestUnknownParametersFollowInstructions guards against instruction indicators that are not obeyed: unrecognised optional
// parameters are passed on or discarded, or the message is discarded or the call released, as they require (Q.764, 2.9.5.3).
func TestUnknownParametersFollowInstructions(t *testing.T) {
	for _, c := range []struct {
		name    string
		compat  []byte
		transit bool
		want    CompatAction
		kept    int
	}{
		{"no instructions", nil, false, Accept, 2},
		{"instructions for another parameter", []byte{0x70, 0x90}, false, Accept, 2},
		{"discard the parameter", []byte{0x71, 0x90}, false, Accept, 1},
		{"discard the message", []byte{0x71, 0x88}, false, Discard, 2},
		{"release the call", []byte{0x71, 0x82}, false, ReleaseCall, 2},
		{"release the call, for end exchanges only", []byte{0x71, 0x83}, true, Accept, 2},
		{"after an entry with two octets of instructions", []byte{0x70, 0x00, 0x80, 0x71, 0x90}, false, Accept, 1},
		{"truncated instructions", []byte{0x71}, false, Accept, 2},
	} {
		m := Message{Type: IAM, Compat: c.compat, Optional: []Optional{{0x71, nil}, {0x72, []byte{1}}}}
		if got := CheckUnknown(&m, c.transit); got != c.want || len(m.Optional) != c.kept {
			t.Errorf("%s: action %v with %d parameters left, want %v with %d", c.name, got, len(m.Optional), c.want, c.kept)
		}
	}
}

// TestIAMKeepsParametersInRoundTrip guards against an IAM that loses or changes a parameter when it is encoded and decoded.
func TestIAMKeepsParametersInRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		digits := rapid.StringMatching(`[0-9]{0,24}`)
		called, _ := ParseNumber(rapid.Byte().Draw(t, "nature")&0x7f, digits.Draw(t, "called"))
		m := Message{CIC: rapid.Uint16Max(MaxCIC).Draw(t, "cic"), Type: IAM, NatureOfConnection: rapid.Byte().Draw(t, "n"),
			ForwardIndicators: rapid.Uint16().Draw(t, "f"), Category: Category(rapid.Byte().Draw(t, "cat")), TransmissionMedium: 3, Called: called,
			HasRef: rapid.Bool().Draw(t, "ref"), HasHops: rapid.Bool().Draw(t, "hops"), HasPropagationDelay: rapid.Bool().Draw(t, "delay")}
		if m.HasRef {
			m.Ref = CallReference{rapid.Uint32Max(1<<24-1).Draw(t, "id"), rapid.Uint16Max(1<<14-1).Draw(t, "pc")}
		}
		if m.HasHops {
			m.Hops = rapid.ByteMax(31).Draw(t, "h")
		}
		if m.HasPropagationDelay {
			m.PropagationDelay = rapid.Uint16().Draw(t, "d")
		}
		if rapid.Bool().Draw(t, "opt") {
			m.Optional = []Optional{{0x71, rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "v")}}
		}
		var got Message
		if err := Decode(Append(nil, &m), &got); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(Append(nil, &got), Append(nil, &m)) || got.Called != m.Called || got.Ref != m.Ref {
			t.Fatalf("%+v was decoded as %+v", m, got)
		}
	})
}

// FuzzDecode guards against a panic, and against a decoded message that cannot be encoded or changes when it is decoded again.
func FuzzDecode(f *testing.F) {
	for _, s := range samples {
		b, _ := hex.DecodeString(s.hex)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m, again Message
		if err := Decode(b, &m); err != nil {
			return
		}
		CheckUnknown(&m, false)
		once := Append(nil, &m)
		if err := Decode(once, &again); err != nil {
			t.Fatalf("the encoded message cannot be decoded: %v\n%x\n%x", err, b, once)
		}
		if twice := Append(nil, &again); !bytes.Equal(once, twice) {
			t.Fatalf("decoding and encoding again changes the message:\n%x\n%x", once, twice)
		}
	})
}

// referenceDecode is a simple decoder for comparison in benchmarks: it copies parameters into a map and numbers into strings.
func referenceDecode(b []byte) (map[byte][]byte, string) {
	params := map[byte][]byte{}
	v := b[9+int(b[8])-1:]
	called := ""
	for i, o := range v[3 : 1+int(v[0])] {
		called += string(rune('0'+o&15)) + string(rune('0'+o>>4))
		_ = i
	}
	for at := 9 + int(b[9]); b[at] != 0; at += 2 + int(b[at+1]) {
		params[b[at]] = append([]byte(nil), b[at+2:at+2+int(b[at+1])]...)
	}
	return params, called
}

func BenchmarkDecodeIAM(b *testing.B) {
	m := Message{CIC: 5, Type: IAM, Called: mustParseNumber(b, "82105550123456"), HasCalling: true, Calling: mustParseNumber(b, "82105550999999"),
		HasRef: true, Ref: CallReference{7, 9}, HasHops: true, Hops: 10}
	frame := Append(nil, &m)
	b.Run("Decode", func(b *testing.B) {
		b.ReportAllocs()
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

func BenchmarkAppendIAM(b *testing.B) {
	m := Message{CIC: 5, Type: IAM, Called: mustParseNumber(b, "82105550123456"), HasCalling: true, Calling: mustParseNumber(b, "82105550999999")}
	buf := make([]byte, 0, 128)
	b.ReportAllocs()
	for b.Loop() {
		buf = Append(buf[:0], &m)
	}
}
