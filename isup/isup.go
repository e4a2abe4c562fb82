// Package isup encodes and decodes the ISDN User Part messages that call control uses (Q.763) and handles unrecognised
// parameters (Q.764). It keeps no state of calls or circuits.
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
	paramCallReference           = 0x01
	paramCallingPartyNumber      = 0x0a
	paramCauseIndicators         = 0x12
	paramCongestionLevel         = 0x27
	paramPropagationDelayCounter = 0x31
	paramMessageCompatibility    = 0x38
	paramParameterCompatibility  = 0x39
	paramHopCounter              = 0x3d
)

// MaxCIC is the highest circuit identification code (12 bits; Q.763, 1.2).
const MaxCIC = 1<<12 - 1

// MaxRange is the largest number of circuits in one circuit group message (a range field of 31 means 32 circuits; Q.763, 3.43).
const MaxRange = 32

// Category is a calling party's category (Q.763, 3.11).
type Category byte

// The categories in use.
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
	CauseUnallocated           Cause = 1
	CauseNoRoute               Cause = 3
	CauseNormal                Cause = 16
	CauseUserBusy              Cause = 17
	CauseNoUserResponding      Cause = 18
	CauseNoAnswer              Cause = 19
	CauseRejected              Cause = 21
	CauseDestinationOutOfOrder Cause = 27
	CauseInvalidNumber         Cause = 28
	CauseNormalUnspecified     Cause = 31
	CauseNoCircuit             Cause = 34
	CauseNetworkOutOfOrder     Cause = 38
	CauseTemporary             Cause = 41
	CauseCongestion            Cause = 42
	CauseCircuitNotAvailable   Cause = 44
	CauseUnknownParameter      Cause = 99
	CauseTimerExpiry           Cause = 102
	CauseProtocolError         Cause = 111
)

// Location says where a cause was generated (Q.850, 2.2.3).
type Location byte

// The locations in use.
const (
	LocationUser    Location = 0
	LocationNetwork Location = 4 // public network serving the remote user
	LocationTransit Location = 3
)

// Circuit states in CQR (Q.763, 3.14). The different transient states, and the blocking states, are not distinguished.
const (
	CircuitTransient  = 0x00
	CircuitUnequipped = 0x03
	CircuitIncoming   = 0x04 // call processing state "circuit incoming busy"
	CircuitOutgoing   = 0x08 // call processing state "circuit outgoing busy"
	CircuitIdle       = 0x0c
	CircuitStateMask  = 0x0c
)

// Supervision is the circuit group supervision message type indicator (Q.763, 3.13).
type Supervision byte

// The types of circuit group blocking. Hardware failure releases the calls on the circuits, maintenance does not.
const (
	Maintenance Supervision = 0
	Hardware    Supervision = 1
)

// Number is an address of up to 24 digits. It is comparable and can be used as a map key.
type Number struct {
	Nature byte     // nature of address: 3 national, 4 international (Q.763, 3.9)
	n      uint8    // number of digits
	bcd    [12]byte // two digits per octet, the first in the low half
}

// ParseNumber parses an address of the digits 0 to 9 and the signals code 11 (b), code 12 (c) and ST (f).
func ParseNumber(nature byte, digits string) (Number, error) {
	number := Number{Nature: nature}
	if len(digits) > 2*len(number.bcd) {
		return number, fmt.Errorf("isup: number of %d digits exceeds the limit of 24", len(digits))
	}
	for i := range len(digits) {
		var value byte
		switch digit := digits[i]; {
		case digit >= '0' && digit <= '9':
			value = digit - '0'
		case digit == 'b' || digit == 'c' || digit == 'f':
			value = digit - 'a' + 10
		default:
			return number, fmt.Errorf("isup: invalid digit %q in a number", digit)
		}
		number.bcd[i/2] |= value << (4 * (i % 2))
		number.n++
	}
	return number, nil
}

// Len returns the number of digits.
func (n Number) Len() int { return int(n.n) }

// Digit returns the digit at index i, from 0.
func (n Number) Digit(i int) byte { return n.bcd[i/2] >> (4 * (i % 2)) & 15 }

// AppendDigits appends the digits to b as text.
func (n Number) AppendDigits(b []byte) []byte {
	for i := range n.Len() {
		b = append(b, "0123456789abcdef"[n.Digit(i)])
	}
	return b
}

func (n Number) String() string { return string(n.AppendDigits(make([]byte, 0, 24))) }

// decodeNumber decodes a called or calling party number, which must have at least its two octets of indicators.
func decodeNumber(value []byte) (Number, error) {
	number := Number{Nature: value[0] & 0x7f}
	digits := 2 * (len(value) - 2)
	if value[0]&0x80 != 0 {
		digits--
	}
	if digits < 0 || digits > 2*len(number.bcd) {
		return number, fmt.Errorf("a number of %d digits", digits)
	}
	number.n = uint8(digits)
	copy(number.bcd[:], value[2:])
	if digits%2 == 1 {
		number.bcd[digits/2] &= 0x0f // clears the filler
	}
	return number, nil
}

// appendTo appends a called or calling party number; numberingPlan is its second octet of indicators.
func (n Number) appendTo(b []byte, numberingPlan byte) []byte {
	b = append(b, n.Nature&0x7f|n.n%2<<7, numberingPlan)
	return append(b, n.bcd[:(n.n+1)/2]...)
}

// Optional is an optional parameter that this package does not interpret.
type Optional struct {
	Code  byte
	Value []byte
}

// CallReference identifies a call independently of its circuits (Q.763, 3.8).
type CallReference struct {
	ID uint32 // call identity, 24 bits
	PC uint16 // point code of the signalling point that assigned the identity, 14 bits
}

// Message is an ISUP message; only the fields of its type are used. The byte slices of a decoded message refer to the octets
// that it was decoded from.
type Message struct {
	CIC  uint16
	Type Type

	// IAM
	NatureOfConnection  byte   // nature of connection indicators (Q.763, 3.35)
	ForwardIndicators   uint16 // forward call indicators (Q.763, 3.23)
	Category            Category
	TransmissionMedium  byte // transmission medium requirement (Q.763, 3.54)
	Called              Number
	HasCalling          bool
	Calling             Number
	HasHops             bool
	Hops                byte // hop counter, 0 to 31 (Q.763, 3.80)
	HasRef              bool
	Ref                 CallReference
	HasPropagationDelay bool
	PropagationDelay    uint16 // propagation delay counter, in milliseconds (Q.763, 3.42)
	BackwardIndicators  uint16 // ACM, CON: backward call indicators (Q.763, 3.5)
	EventInformation    byte   // CPG: event information (Q.763, 3.21)
	Cause               Cause  // REL, and other messages with cause indicators
	Location            Location
	CongestionLevel     byte // REL: automatic congestion level, 1 or 2; 0: not given (Q.763, 3.4)
	Supervision         Supervision
	Range               byte   // circuit group messages: the number of circuits less one
	Status              []byte // one bit for each circuit, the lowest bit first
	Circuits            []byte // CQR: one octet of circuit state for each circuit

	Compat   []byte // parameter compatibility information (Q.763, 3.41)
	Optional []Optional
}

// Error says where and why a message is malformed.
type Error struct {
	Type   Type
	Offset int
	Reason string
}

func (e *Error) Error() string {
	return fmt.Sprintf("isup: %v octet %d: %s", e.Type, e.Offset, e.Reason)
}

// layout is the form of a message type (Q.763, tables 21 to 51): octets of the mandatory fixed part, number of
// mandatory variable parameters, and whether an optional part may follow.
type layout struct {
	fixed, variable int
	optional        bool
}

// layouts lists the message types that this package knows.
var layouts = map[Type]layout{
	IAM: {5, 1, true}, ACM: {2, 0, true}, CON: {2, 0, true}, ANM: {0, 0, true}, REL: {0, 1, true}, RLC: {0, 0, true},
	CPG: {1, 0, true}, RSC: {}, BLO: {}, UBL: {}, BLA: {}, UBA: {}, GRS: {0, 1, false}, GRA: {0, 1, false},
	CQM: {0, 1, false}, CQR: {0, 2, false}, CGB: {1, 1, false}, CGU: {1, 1, false}, CGBA: {1, 1, false},
	CGUA: {1, 1, false},
}

// layoutTable is layouts indexed by message type, for Decode and Append.
var layoutTable [256]struct {
	layout
	known bool
}

func init() {
	for t, l := range layouts {
		layoutTable[t].layout, layoutTable[t].known = l, true
	}
}

// Known reports whether this package can decode messages of the type.
func Known(t Type) bool { return layoutTable[t].known }

// Decode decodes a message, which begins with the CIC, into m and reuses its Optional slice. The error is an *Error. For an
// unknown message type, which Q.764, 2.9.5.2 covers, m has only its CIC and type.
func Decode(b []byte, m *Message) error {
	parameters := m.Optional[:0]
	*m = Message{Optional: parameters}
	if len(b) < 3 {
		return &Error{0, 0, "message shorter than CIC and message type"}
	}
	m.CIC = binary.LittleEndian.Uint16(b) & MaxCIC
	m.Type = Type(b[2])
	l := layoutTable[m.Type]
	if !l.known {
		return &Error{m.Type, 2, "unknown message type"}
	}
	offset := 3
	if len(b) < offset+l.fixed {
		return &Error{m.Type, offset, "mandatory fixed part truncated"}
	}
	fixedPart := b[offset:]
	switch m.Type {
	case IAM:
		m.NatureOfConnection, m.ForwardIndicators = fixedPart[0], binary.LittleEndian.Uint16(fixedPart[1:])
		m.Category, m.TransmissionMedium = Category(fixedPart[3]), fixedPart[4]
	case ACM, CON:
		m.BackwardIndicators = binary.LittleEndian.Uint16(fixedPart)
	case CPG:
		m.EventInformation = fixedPart[0]
	case CGB, CGU, CGBA, CGUA:
		m.Supervision = Supervision(fixedPart[0] & 3)
	}
	offset += l.fixed
	pointers := l.variable
	if l.optional {
		pointers++
	}
	if len(b) < offset+pointers {
		if l.variable == 0 && len(b) == offset { // tolerates a missing pointer to the optional part
			return nil
		}
		return &Error{m.Type, offset, "pointer truncated"}
	}
	for i := range l.variable {
		value, err := variable(b, offset+i, m.Type)
		if err != nil {
			return err
		}
		if reason := m.decodeMandatory(i, value); reason != "" {
			return &Error{m.Type, offset + i, reason}
		}
	}
	if l.optional && b[offset+l.variable] != 0 {
		return m.decodeOptional(b, offset+l.variable+int(b[offset+l.variable]))
	}
	return nil
}

// variable returns the content of the mandatory variable parameter whose pointer is at the index pointer of b.
func variable(b []byte, pointer int, messageType Type) ([]byte, error) {
	offset := pointer + int(b[pointer])
	if b[pointer] == 0 || offset >= len(b) || offset+1+int(b[offset]) > len(b) {
		return nil, &Error{messageType, pointer, "pointer or length exceeds the message"}
	}
	return b[offset+1 : offset+1+int(b[offset])], nil
}

// decodeMandatory decodes the mandatory variable parameter of the given index; reason says why it is malformed.
func (m *Message) decodeMandatory(index int, value []byte) (reason string) {
	switch m.Type {
	case IAM:
		if len(value) < 2 {
			return "called party number without its indicators"
		}
		number, err := decodeNumber(value)
		if err != nil {
			return err.Error()
		}
		m.Called = number
	case REL:
		return m.decodeCause(value)
	default: // range and status, then circuit states
		if index == 1 {
			if len(value) != int(m.Range)+1 {
				return fmt.Sprintf("%d circuit states for %d circuits", len(value), m.Range+1)
			}
			m.Circuits = value
			return ""
		}
		if len(value) < 1 {
			return "range and status parameter is empty"
		}
		m.Range, m.Status = value[0], value[1:]
		withStatus := m.Type != GRS && m.Type != CQM && m.Type != CQR
		if withStatus && len(m.Status) < (int(m.Range)+8)/8 {
			return "status field too short for its range"
		}
		if m.Type != GRS && m.Type != GRA && m.Range == 0 && withStatus {
			return "range 0 is not allowed in this message type"
		}
		if int(m.Range) >= MaxRange {
			return fmt.Sprintf("range %d exceeds 31", m.Range)
		}
	}
	return ""
}

// decodeCause decodes cause indicators; its result says why they are malformed.
func (m *Message) decodeCause(value []byte) string {
	if len(value) < 2 || value[0]&0x80 == 0 && len(value) < 3 {
		return "cause indicators too short"
	}
	m.Location = Location(value[0] & 15)
	index := 1
	if value[0]&0x80 == 0 { // the octet with the recommendation precedes the cause value
		index = 2
	}
	m.Cause = Cause(value[index] & 0x7f)
	return ""
}

// decodeOptional decodes the optional part, which begins at offset.
func (m *Message) decodeOptional(b []byte, offset int) error {
	for {
		if offset >= len(b) {
			return &Error{m.Type, offset, "optional part without its end octet"}
		}
		code := b[offset]
		if code == 0 {
			return nil
		}
		if offset+2 > len(b) || offset+2+int(b[offset+1]) > len(b) {
			return &Error{m.Type, offset, fmt.Sprintf("optional parameter %#02x truncated", code)}
		}
		value := b[offset+2 : offset+2+int(b[offset+1])]
		shorter := func(n int) bool { return len(value) < n }
		invalid := false
		switch {
		case code == paramCallingPartyNumber && m.Type == IAM:
			if invalid = shorter(2); !invalid {
				n, err := decodeNumber(value)
				invalid, m.HasCalling, m.Calling = err != nil, true, n
			}
		case code == paramHopCounter && m.Type == IAM:
			if invalid = shorter(1); !invalid {
				m.HasHops, m.Hops = true, value[0]&31
			}
		case code == paramCallReference:
			if invalid = shorter(5); !invalid {
				m.HasRef = true
				m.Ref = CallReference{uint32(value[0])<<16 | uint32(value[1])<<8 | uint32(value[2]),
					binary.LittleEndian.Uint16(value[3:]) & 0x3fff}
			}
		case code == paramPropagationDelayCounter && m.Type == IAM:
			if invalid = shorter(2); !invalid {
				m.HasPropagationDelay, m.PropagationDelay = true, binary.BigEndian.Uint16(value)
			}
		case code == paramCongestionLevel && m.Type == REL:
			if invalid = shorter(1); !invalid {
				m.CongestionLevel = value[0]
			}
		case code == paramCauseIndicators:
			invalid = m.decodeCause(value) != ""
		case code == paramParameterCompatibility:
			m.Compat = value
		default:
			m.Optional = append(m.Optional, Optional{code, value})
		}
		if invalid {
			return &Error{m.Type, offset, fmt.Sprintf("optional parameter %#02x with invalid content of %d octets", code, len(value))}
		}
		offset += 2 + int(b[offset+1])
	}
}

// Append appends m, encoded, to dst.
func Append(dst []byte, m *Message) []byte {
	dst = append(dst, byte(m.CIC), byte(m.CIC>>8), byte(m.Type))
	l := layoutTable[m.Type]
	switch m.Type {
	case IAM:
		dst = append(dst, m.NatureOfConnection, byte(m.ForwardIndicators), byte(m.ForwardIndicators>>8), byte(m.Category), m.TransmissionMedium)
	case ACM, CON:
		dst = append(dst, byte(m.BackwardIndicators), byte(m.BackwardIndicators>>8))
	case CPG:
		dst = append(dst, m.EventInformation)
	case CGB, CGU, CGBA, CGUA:
		dst = append(dst, byte(m.Supervision))
	}
	pointers := len(dst)
	for range l.variable {
		dst = append(dst, 0)
	}
	if l.optional {
		dst = append(dst, 0)
	}
	for i := range l.variable {
		dst[pointers+i] = byte(len(dst) - pointers - i)
		start := len(dst)
		dst = append(dst, 0)
		switch {
		case m.Type == IAM:
			dst = m.Called.appendTo(dst, 0x10) // ISDN numbering plan, routing to internal number allowed
		case m.Type == REL:
			dst = append(dst, 0x80|byte(m.Location), 0x80|byte(m.Cause))
		case i == 1:
			dst = append(dst, m.Circuits...)
		default:
			dst = append(append(dst, m.Range), m.Status...)
		}
		dst[start] = byte(len(dst) - start - 1)
	}
	if !l.optional {
		return dst
	}
	start := len(dst)
	if m.HasCalling {
		o := len(dst)
		dst = m.Calling.appendTo(append(dst, paramCallingPartyNumber, 0), 0x13) // presentation allowed, network provided
		dst[o+1] = byte(len(dst) - o - 2)
	}
	if m.HasRef {
		dst = append(dst, paramCallReference, 5, byte(m.Ref.ID>>16), byte(m.Ref.ID>>8), byte(m.Ref.ID),
			byte(m.Ref.PC), byte(m.Ref.PC>>8))
	}
	if m.HasPropagationDelay {
		dst = append(dst, paramPropagationDelayCounter, 2, byte(m.PropagationDelay>>8), byte(m.PropagationDelay))
	}
	if m.HasHops {
		dst = append(dst, paramHopCounter, 1, m.Hops)
	}
	if m.CongestionLevel != 0 && m.Type == REL {
		dst = append(dst, paramCongestionLevel, 1, m.CongestionLevel)
	}
	if m.Cause != 0 && m.Type != REL {
		dst = append(dst, paramCauseIndicators, 2, 0x80|byte(m.Location), 0x80|byte(m.Cause))
	}
	if len(m.Compat) > 0 {
		dst = append(append(dst, paramParameterCompatibility, byte(len(m.Compat))), m.Compat...)
	}
	for _, o := range m.Optional {
		dst = append(append(dst, o.Code, byte(len(o.Value))), o.Value...)
	}
	if len(dst) > start {
		dst[pointers+l.variable] = byte(start - pointers - l.variable)
		dst = append(dst, 0)
	}
	return dst
}
