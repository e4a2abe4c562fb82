// Package isup holds the ISDN User Part messages that call control uses, in the formats of Q.763, and the handling of
// unknown parameters of Q.764. It knows nothing of calls.
package isup

import (
	"encoding/binary"
	"fmt"
)

// Type is a message type code (Q.763, table 4).
type Type byte

// The message types.
const (
	IAM  Type = 0x01 // initial address
	ACM  Type = 0x06 // address complete
	CON  Type = 0x07 // connect
	ANM  Type = 0x09 // answer
	REL  Type = 0x0c // release
	RLC  Type = 0x10 // release complete
	RSC  Type = 0x12 // reset circuit
	BLO  Type = 0x13 // blocking
	UBL  Type = 0x14 // unblocking
	BLA  Type = 0x15 // blocking acknowledgement
	UBA  Type = 0x16 // unblocking acknowledgement
	GRS  Type = 0x17 // circuit group reset
	CGB  Type = 0x18 // circuit group blocking
	CGU  Type = 0x19 // circuit group unblocking
	CGBA Type = 0x1a // circuit group blocking acknowledgement
	CGUA Type = 0x1b // circuit group unblocking acknowledgement
	GRA  Type = 0x29 // circuit group reset acknowledgement
	CQM  Type = 0x2a // circuit group query
	CQR  Type = 0x2b // circuit group query response
	CPG  Type = 0x2c // call progress
)

var typeNames = map[Type]string{IAM: "IAM", ACM: "ACM", CON: "CON", ANM: "ANM", REL: "REL", RLC: "RLC", RSC: "RSC",
	BLO: "BLO", UBL: "UBL", BLA: "BLA", UBA: "UBA", GRS: "GRS", CGB: "CGB", CGU: "CGU", CGBA: "CGBA", CGUA: "CGUA",
	GRA: "GRA", CQM: "CQM", CQR: "CQR", CPG: "CPG"}

func (t Type) String() string {
	if s, ok := typeNames[t]; ok {
		return s
	}
	return fmt.Sprintf("type %#02x", byte(t))
}

// Parameter codes (Q.763, table 5).
const (
	parCallReference = 0x01
	parCallingNumber = 0x0a
	parCause         = 0x12
	parCongestion    = 0x27
	parPropagation   = 0x31
	parMessageCompat = 0x38
	parCompat        = 0x39
	parHopCounter    = 0x3d
)

// MaxCIC is the highest circuit identification code (12 bits; Q.763, 1.2).
const MaxCIC = 1<<12 - 1

// MaxRange is the most circuits that one group message can name: GRS, CQM (range up to 31: 32 circuits; Q.763, 3.43).
const MaxRange = 32

// Category is a calling party's category (Q.763, 3.11).
type Category byte

// The categories that matter here.
const (
	CategoryOrdinary Category = 0x0a
	CategoryPriority Category = 0x0b
	CategoryData     Category = 0x0c
	CategoryTest     Category = 0x0d
)

// Cause is a cause value (Q.850, table 1).
type Cause byte

// The cause values in use.
const (
	CauseUnallocated   Cause = 1
	CauseNoRoute       Cause = 3
	CauseNormal        Cause = 16
	CauseUserBusy      Cause = 17
	CauseNoUser        Cause = 18
	CauseNoAnswer      Cause = 19
	CauseRejected      Cause = 21
	CauseOutOfOrder    Cause = 27
	CauseInvalidNumber Cause = 28
	CauseUnspecified   Cause = 31
	CauseNoCircuit     Cause = 34
	CauseNetworkDown   Cause = 38
	CauseTemporary     Cause = 41
	CauseCongestion    Cause = 42
	CauseNotAvailable  Cause = 44
	CauseUnknownPar    Cause = 99
	CauseTimer         Cause = 102
	CauseProtocol      Cause = 111
)

// Location tells who released (Q.850, 2.2.3).
type Location byte

// The locations in use.
const (
	LocationUser    Location = 0
	LocationNetwork Location = 4 // public network serving the remote user
	LocationTransit Location = 3
)

// States of a circuit in CQR (Q.763, 3.14). The transient ones and those of blocking are not told apart here.
const (
	CircuitTransient  = 0x00
	CircuitUnequipped = 0x03
	CircuitIncoming   = 0x04 // call processing state: circuit incoming busy
	CircuitOutgoing   = 0x08 // circuit outgoing busy
	CircuitIdle       = 0x0c
	CircuitStateMask  = 0x0c
)

// Supervision is the type indicator of circuit group blocking (Q.763, 3.13).
type Supervision byte

// The types: hardware failure releases the calls, maintenance leaves them.
const (
	Maintenance Supervision = 0
	Hardware    Supervision = 1
)

// Number is an address of up to 24 digits. It can be compared and used as a key.
type Number struct {
	Nature byte // nature of address: 3 national, 4 international (Q.763, 3.9)
	n      uint8
	bcd    [12]byte
}

// ParseNumber reads digits: 0 to 9 and the signals ST (f), code 11 (b) and code 12 (c). Others are an error.
func ParseNumber(nature byte, digits string) (Number, error) {
	num := Number{Nature: nature}
	if len(digits) > 2*len(num.bcd) {
		return num, fmt.Errorf("isup: a number of %d digits", len(digits))
	}
	for i := range len(digits) {
		var d byte
		switch c := digits[i]; {
		case c >= '0' && c <= '9':
			d = c - '0'
		case c == 'b' || c == 'c' || c == 'f':
			d = c - 'a' + 10
		default:
			return num, fmt.Errorf("isup: %q is no digit", c)
		}
		num.bcd[i/2] |= d << (4 * (i % 2))
		num.n++
	}
	return num, nil
}

// Len is the number of digits.
func (n Number) Len() int { return int(n.n) }

// Digit is the digit at i.
func (n Number) Digit(i int) byte { return n.bcd[i/2] >> (4 * (i % 2)) & 15 }

// AppendDigits writes the digits behind b.
func (n Number) AppendDigits(b []byte) []byte {
	for i := range n.Len() {
		b = append(b, "0123456789abcdef"[n.Digit(i)])
	}
	return b
}

func (n Number) String() string { return string(n.AppendDigits(make([]byte, 0, 24))) }

// decodeNumber reads the address signals from a called or calling party number, whose first two octets it has.
func decodeNumber(v []byte) (Number, error) {
	num := Number{Nature: v[0] & 0x7f}
	digits := 2 * (len(v) - 2)
	if v[0]&0x80 != 0 {
		digits--
	}
	if digits < 0 || digits > 2*len(num.bcd) {
		return num, fmt.Errorf("a number of %d digits", digits)
	}
	num.n = uint8(digits)
	copy(num.bcd[:], v[2:])
	if digits%2 == 1 {
		num.bcd[digits/2] &= 0x0f // the filler is no digit
	}
	return num, nil
}

func (n Number) encode(b []byte, second byte) []byte {
	b = append(b, n.Nature&0x7f|n.n%2<<7, second)
	return append(b, n.bcd[:(n.n+1)/2]...)
}

// Optional is an optional parameter that this package does not interpret.
type Optional struct {
	Code  byte
	Value []byte
}

// CallReference identifies a call independently of its circuits (Q.763, 3.8).
type CallReference struct {
	ID uint32 // 24 bits
	PC uint16 // signalling point that gave the identity, 14 bits
}

// Message is one ISUP message; only the fields of its type count. Slices of a decoded message lie within its octets.
type Message struct {
	CIC  uint16
	Type Type

	// IAM
	Nature      byte // nature of connection indicators (Q.763, 3.35)
	Forward     uint16
	Category    Category
	Medium      byte // transmission medium requirement (Q.763, 3.54)
	Called      Number
	HasCalling  bool
	Calling     Number
	HasHops     bool
	Hops        byte // hop counter, 0 to 31 (Q.763, 3.80)
	HasRef      bool
	Ref         CallReference
	HasDelay    bool
	Delay       uint16 // propagation delay counter, in milliseconds (Q.763, 3.42)
	Backward    uint16 // ACM, CON: backward call indicators (Q.763, 3.5)
	Event       byte   // CPG: event information (Q.763, 3.21)
	Cause       Cause  // REL, and what else has cause indicators
	Location    Location
	Congestion  byte // REL: automatic congestion level, 1 or 2; 0: not given (Q.763, 3.4)
	Supervision Supervision
	Range       byte   // group messages: circuits beyond the first
	Status      []byte // one bit a circuit, from the lowest on
	Circuits    []byte // CQR: one octet a circuit

	Compat   []byte // parameter compatibility information (Q.763, 3.41)
	Optional []Optional
}

// Error tells where a message is malformed.
type Error struct {
	Type   Type
	Offset int
	What   string
}

func (e *Error) Error() string { return fmt.Sprintf("isup: %v octet %d: %s", e.Type, e.Offset, e.What) }

// layout is the form of a message type (Q.763, tables 21 to 51): octets of the mandatory fixed part, number of
// mandatory variable parameters, and whether an optional part may follow.
type layout struct {
	fixed, variable int
	optional        bool
}

var layouts = map[Type]layout{
	IAM: {5, 1, true}, ACM: {2, 0, true}, CON: {2, 0, true}, ANM: {0, 0, true}, REL: {0, 1, true}, RLC: {0, 0, true},
	CPG: {1, 0, true}, RSC: {}, BLO: {}, UBL: {}, BLA: {}, UBA: {}, GRS: {0, 1, false}, GRA: {0, 1, false},
	CQM: {0, 1, false}, CQR: {0, 2, false}, CGB: {1, 1, false}, CGU: {1, 1, false}, CGBA: {1, 1, false},
	CGUA: {1, 1, false},
}

var layoutOf [256]struct {
	layout
	known bool
}

func init() {
	for t, l := range layouts {
		layoutOf[t].layout, layoutOf[t].known = l, true
	}
}

// Known tells whether the type is one of this package's.
func Known(t Type) bool { return layoutOf[t].known }

// Decode reads the octets from the CIC on into m, whose slices are reused. The error is an *Error; for a type that is
// not known m has its CIC and type, and the caller acts on Compatibility (Q.764, 2.9.5.2).
func Decode(b []byte, m *Message) error {
	opt := m.Optional[:0]
	*m = Message{Optional: opt}
	if len(b) < 3 {
		return &Error{0, 0, "shorter than CIC and message type"}
	}
	m.CIC = binary.LittleEndian.Uint16(b) & MaxCIC
	m.Type = Type(b[2])
	l := layoutOf[m.Type]
	if !l.known {
		return &Error{m.Type, 2, "unknown message type"}
	}
	at := 3
	if len(b) < at+l.fixed {
		return &Error{m.Type, at, "the mandatory fixed part is cut off"}
	}
	f := b[at:]
	switch m.Type {
	case IAM:
		m.Nature, m.Forward = f[0], binary.LittleEndian.Uint16(f[1:])
		m.Category, m.Medium = Category(f[3]), f[4]
	case ACM, CON:
		m.Backward = binary.LittleEndian.Uint16(f)
	case CPG:
		m.Event = f[0]
	case CGB, CGU, CGBA, CGUA:
		m.Supervision = Supervision(f[0] & 3)
	}
	at += l.fixed
	pointers := l.variable
	if l.optional {
		pointers++
	}
	if len(b) < at+pointers {
		if l.variable == 0 && len(b) == at { // a message without even its pointer: nothing optional follows
			return nil
		}
		return &Error{m.Type, at, "a pointer is cut off"}
	}
	for i := range l.variable {
		v, err := variable(b, at+i, m.Type)
		if err != nil {
			return err
		}
		if what := m.mandatory(i, v); what != "" {
			return &Error{m.Type, at + i, what}
		}
	}
	if l.optional && b[at+l.variable] != 0 {
		return m.optionals(b, at+l.variable+int(b[at+l.variable]))
	}
	return nil
}

// variable follows the pointer at p to a parameter's content.
func variable(b []byte, p int, t Type) ([]byte, error) {
	at := p + int(b[p])
	if b[p] == 0 || at >= len(b) || at+1+int(b[at]) > len(b) {
		return nil, &Error{t, p, "a pointer or length leads beyond the end"}
	}
	return b[at+1 : at+1+int(b[at])], nil
}

func (m *Message) mandatory(i int, v []byte) (what string) {
	switch m.Type {
	case IAM:
		if len(v) < 2 {
			return "a called party number without its indicators"
		}
		n, err := decodeNumber(v)
		if err != nil {
			return err.Error()
		}
		m.Called = n
	case REL:
		return m.cause(v)
	default: // range and status, then circuit states
		if i == 1 {
			if len(v) != int(m.Range)+1 {
				return fmt.Sprintf("%d circuit states for %d circuits", len(v), m.Range+1)
			}
			m.Circuits = v
			return ""
		}
		if len(v) < 1 {
			return "no range"
		}
		m.Range, m.Status = v[0], v[1:]
		withStatus := m.Type != GRS && m.Type != CQM && m.Type != CQR
		if withStatus && len(m.Status) < (int(m.Range)+8)/8 {
			return "a status field too short for its range"
		}
		if m.Type != GRS && m.Type != GRA && m.Range == 0 && withStatus {
			return "range 0"
		}
		if int(m.Range) >= MaxRange {
			return fmt.Sprintf("range %d", m.Range)
		}
	}
	return ""
}

func (m *Message) cause(v []byte) string {
	if len(v) < 2 || v[0]&0x80 == 0 && len(v) < 3 {
		return "cause indicators too short"
	}
	m.Location = Location(v[0] & 15)
	i := 1
	if v[0]&0x80 == 0 { // an octet of recommendation lies between
		i = 2
	}
	m.Cause = Cause(v[i] & 0x7f)
	return ""
}

func (m *Message) optionals(b []byte, at int) error {
	for {
		if at >= len(b) {
			return &Error{m.Type, at, "the optional part has no end"}
		}
		code := b[at]
		if code == 0 {
			return nil
		}
		if at+2 > len(b) || at+2+int(b[at+1]) > len(b) {
			return &Error{m.Type, at, fmt.Sprintf("optional parameter %#02x is cut off", code)}
		}
		v := b[at+2 : at+2+int(b[at+1])]
		short := func(n int) bool { return len(v) < n }
		bad := false
		switch {
		case code == parCallingNumber && m.Type == IAM:
			if bad = short(2); !bad {
				n, err := decodeNumber(v)
				bad, m.HasCalling, m.Calling = err != nil, true, n
			}
		case code == parHopCounter && m.Type == IAM:
			if bad = short(1); !bad {
				m.HasHops, m.Hops = true, v[0]&31
			}
		case code == parCallReference:
			if bad = short(5); !bad {
				m.HasRef = true
				m.Ref = CallReference{uint32(v[0])<<16 | uint32(v[1])<<8 | uint32(v[2]),
					binary.LittleEndian.Uint16(v[3:]) & 0x3fff}
			}
		case code == parPropagation && m.Type == IAM:
			if bad = short(2); !bad {
				m.HasDelay, m.Delay = true, binary.BigEndian.Uint16(v)
			}
		case code == parCongestion && m.Type == REL:
			if bad = short(1); !bad {
				m.Congestion = v[0]
			}
		case code == parCause:
			bad = m.cause(v) != ""
		case code == parCompat:
			m.Compat = v
		default:
			m.Optional = append(m.Optional, Optional{code, v})
		}
		if bad {
			return &Error{m.Type, at, fmt.Sprintf("optional parameter %#02x of %d octets", code, len(v))}
		}
		at += 2 + int(b[at+1])
	}
}

// Append writes m behind dst.
func Append(dst []byte, m *Message) []byte {
	dst = append(dst, byte(m.CIC), byte(m.CIC>>8), byte(m.Type))
	l := layoutOf[m.Type]
	switch m.Type {
	case IAM:
		dst = append(dst, m.Nature, byte(m.Forward), byte(m.Forward>>8), byte(m.Category), m.Medium)
	case ACM, CON:
		dst = append(dst, byte(m.Backward), byte(m.Backward>>8))
	case CPG:
		dst = append(dst, m.Event)
	case CGB, CGU, CGBA, CGUA:
		dst = append(dst, byte(m.Supervision))
	}
	p := len(dst)
	for range l.variable {
		dst = append(dst, 0)
	}
	if l.optional {
		dst = append(dst, 0)
	}
	for i := range l.variable {
		dst[p+i] = byte(len(dst) - p - i)
		at := len(dst)
		dst = append(dst, 0)
		switch {
		case m.Type == IAM:
			dst = m.Called.encode(dst, 0x10) // ISDN numbering plan, routing to internal number allowed
		case m.Type == REL:
			dst = append(dst, 0x80|byte(m.Location), 0x80|byte(m.Cause))
		case i == 1:
			dst = append(dst, m.Circuits...)
		default:
			dst = append(append(dst, m.Range), m.Status...)
		}
		dst[at] = byte(len(dst) - at - 1)
	}
	if !l.optional {
		return dst
	}
	at := len(dst)
	if m.HasCalling {
		o := len(dst)
		dst = m.Calling.encode(append(dst, parCallingNumber, 0), 0x13) // presentation allowed, network provided
		dst[o+1] = byte(len(dst) - o - 2)
	}
	if m.HasRef {
		dst = append(dst, parCallReference, 5, byte(m.Ref.ID>>16), byte(m.Ref.ID>>8), byte(m.Ref.ID),
			byte(m.Ref.PC), byte(m.Ref.PC>>8))
	}
	if m.HasDelay {
		dst = append(dst, parPropagation, 2, byte(m.Delay>>8), byte(m.Delay))
	}
	if m.HasHops {
		dst = append(dst, parHopCounter, 1, m.Hops)
	}
	if m.Congestion != 0 && m.Type == REL {
		dst = append(dst, parCongestion, 1, m.Congestion)
	}
	if m.Cause != 0 && m.Type != REL {
		dst = append(dst, parCause, 2, 0x80|byte(m.Location), 0x80|byte(m.Cause))
	}
	if len(m.Compat) > 0 {
		dst = append(append(dst, parCompat, byte(len(m.Compat))), m.Compat...)
	}
	for _, o := range m.Optional {
		dst = append(append(dst, o.Code, byte(len(o.Value))), o.Value...)
	}
	if len(dst) > at {
		dst[p+l.variable] = byte(at - p - l.variable)
		dst = append(dst, 0)
	}
	return dst
}
