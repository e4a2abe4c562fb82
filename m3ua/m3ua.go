// Package m3ua encodes and decodes the messages of the MTP3 User Adaptation layer (RFC 4666), carried over TCP, and has the
// state machines of an association and of an application server. It opens no connection and reads no clock.
//
// Over TCP the message length field of the common header delimits the frames (RFC 4666, 3.1.4). There is only one stream, so
// the rules for SCTP streams in 1.4.7 do not apply.
package m3ua

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Version is the only protocol version (RFC 4666, 3.1.1).
const Version = 1

// HeaderLen is the length of the common header in octets (RFC 4666, 3.1).
const HeaderLen = 8

// MaxFrame is the longest accepted frame in octets. An ISUP message has at most 272 octets (Q.703); the longest other message
// is one of SSNM. The stream of a peer that sends a longer frame is closed.
const MaxFrame = 4096

// Kind is a message class (high octet) and message type (low octet) (RFC 4666, 3.1.2 and 3.1.3).
type Kind uint16

// The message classes and types (RFC 4666, 3.1.2).
const (
	ERR      Kind = 0x0000
	NTFY     Kind = 0x0001
	DATA     Kind = 0x0101
	DUNA     Kind = 0x0201
	DAVA     Kind = 0x0202
	DAUD     Kind = 0x0203
	SCON     Kind = 0x0204
	DUPU     Kind = 0x0205
	DRST     Kind = 0x0206
	ASPUP    Kind = 0x0301
	ASPDN    Kind = 0x0302
	BEAT     Kind = 0x0303
	ASPUPAck Kind = 0x0304
	ASPDNAck Kind = 0x0305
	BEATAck  Kind = 0x0306
	ASPAC    Kind = 0x0401
	ASPIA    Kind = 0x0402
	ASPACAck Kind = 0x0403
	ASPIAAck Kind = 0x0404
)

var kindNames = map[Kind]string{
	ERR: "ERR", NTFY: "NTFY", DATA: "DATA", DUNA: "DUNA", DAVA: "DAVA", DAUD: "DAUD", SCON: "SCON", DUPU: "DUPU",
	DRST: "DRST", ASPUP: "ASPUP", ASPDN: "ASPDN", BEAT: "BEAT", ASPUPAck: "ASPUP ACK", ASPDNAck: "ASPDN ACK",
	BEATAck: "BEAT ACK", ASPAC: "ASPAC", ASPIA: "ASPIA", ASPACAck: "ASPAC ACK", ASPIAAck: "ASPIA ACK",
}

func (k Kind) String() string {
	if s, ok := kindNames[k]; ok {
		return s
	}
	return fmt.Sprintf("class %d type %d", k>>8, k&0xff)
}

// Parameter tags (RFC 4666, 3.2).
const (
	tagInfoString            = 0x0004
	tagRoutingContext        = 0x0006
	tagDiagnosticInformation = 0x0007
	tagHeartbeatData         = 0x0009
	tagTrafficModeType       = 0x000b
	tagErrorCode             = 0x000c
	tagStatus                = 0x000d
	tagASPIdentifier         = 0x0011
	tagAffectedPointCode     = 0x0012
	tagCorrelationID         = 0x0013
	tagNetworkAppearance     = 0x0200
	tagUserCause             = 0x0204
	tagCongestionIndications = 0x0205
	tagConcernedDestination  = 0x0206
	tagProtocolData          = 0x0210
)

// Error codes of ERR (RFC 4666, 3.8.1), and values of other parameters.
const (
	ErrInvalidVersion                 = 0x01
	ErrUnsupportedMessageClass        = 0x03
	ErrUnsupportedMessageType         = 0x04
	ErrUnexpectedMessage              = 0x06
	ErrProtocol                       = 0x07
	ErrRefusedManagementBlocking      = 0x0d
	ErrInvalidParameterValue          = 0x11
	ErrParameterFieldError            = 0x12
	ErrMissingParameter               = 0x16
	ErrInvalidRoutingContext          = 0x19
	StatusASState                     = 1 // NTFY status types and information (RFC 4666, 3.8.2)
	StatusOther                       = 2
	InfoASInactive                    = 2
	InfoASActive                      = 3
	InfoASPending                     = 4
	InfoAlternateASP                  = 2 // of StatusOther
	TrafficOverride                   = 1 // traffic mode types (RFC 4666, 3.7.1)
	TrafficLoadshare                  = 2
	TrafficBroadcast                  = 3
	ServiceISUP                  byte = 5 // service indicator of ISUP (Q.704, 14.2.1)
)

// ProtocolData is the content of the Protocol Data parameter (RFC 4666, 3.3.1): a routing label and user protocol data.
type ProtocolData struct {
	OPC, DPC uint32 // originating and destination point code
	SI       byte   // service indicator
	NI       byte   // network indicator
	MP       byte   // message priority
	SLS      byte   // signalling link selection
	User     []byte // user protocol data; for SI 5, an ISUP message that begins with its CIC
}

// Affected is one affected point code; Mask is the number of its low bits that are wildcards (RFC 4666, 3.4.1).
type Affected struct {
	Mask byte
	PC   uint32
}

// Message is a message of any kind; only the fields of its kind are used. After Decode the byte slices refer to the frame and
// are valid only as long as the frame is.
type Message struct {
	Kind              Kind
	HasRoutingContext bool
	RoutingContext    uint32 // first routing context
	Data              ProtocolData
	Affected          []Affected
	CongestionLevel   byte // level 0 to 3 of SCON (RFC 4666, 3.4.4)
	HasASPID          bool
	ASPID             uint32
	TrafficMode       uint32 // traffic mode; 0: not given
	ErrorCode         uint32
	StatusType        uint16
	StatusInfo        uint16
	Heartbeat         []byte // opaque, returned in BEAT ACK (RFC 4666, 3.5.6)
	InfoString        []byte
}

// Error says why a frame is malformed and which error code the ERR in reply carries.
type Error struct {
	Code   uint32 // error code of ERR
	Offset int    // octet in the frame
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("m3ua: octet %d: %s", e.Offset, e.Reason) }

// ErrTooLong is returned by Length for a frame longer than MaxFrame. The stream is of no use after it, because the start of
// the next frame is unknown.
var ErrTooLong = errors.New("m3ua: message length exceeds the limit")

// Length reads the length of a frame, its header included, from its first HeaderLen octets. After an error the stream cannot
// be divided into frames any more: the length is less than HeaderLen or greater than MaxFrame.
func Length(header []byte) (int, error) {
	length := binary.BigEndian.Uint32(header[4:8])
	if length > MaxFrame {
		return 0, ErrTooLong
	}
	if length < HeaderLen {
		return 0, &Error{ErrProtocol, 4, fmt.Sprintf("message length %d is less than that of the common header", length)}
	}
	return int(length), nil
}

// Decode reads one complete frame into m and reuses its Affected slice. Parameters with an unknown tag are skipped (RFC 4666,
// 3.1: unexpected parameters are ignored). The error is an *Error.
func Decode(frame []byte, m *Message) error {
	affected := m.Affected[:0]
	*m = Message{Affected: affected}
	if len(frame) < HeaderLen {
		return &Error{ErrProtocol, 0, "frame shorter than the common header"}
	}
	if frame[0] != Version {
		return &Error{ErrInvalidVersion, 0, fmt.Sprintf("unsupported version %d", frame[0])}
	}
	if length, err := Length(frame); err != nil || length != len(frame) {
		return &Error{ErrProtocol, 4, "message length differs from the length of the frame"}
	}
	m.Kind = Kind(frame[2])<<8 | Kind(frame[3])
	if _, known := kindNames[m.Kind]; !known {
		code := uint32(ErrUnsupportedMessageType)
		if class := frame[2]; class > 4 {
			code = ErrUnsupportedMessageClass
		}
		return &Error{code, 2, m.Kind.String()}
	}
	hasProtocolData := false
	for offset := HeaderLen; offset < len(frame); {
		if len(frame)-offset < 4 {
			return &Error{ErrParameterFieldError, offset, "parameter shorter than its header"}
		}
		tag := binary.BigEndian.Uint16(frame[offset:])
		length := int(binary.BigEndian.Uint16(frame[offset+2:]))
		if length < 4 || length > len(frame)-offset {
			return &Error{ErrParameterFieldError, offset + 2, fmt.Sprintf("parameter %#04x has invalid length %d", tag, length)}
		}
		value := frame[offset+4 : offset+length : offset+length]
		if err := m.decodeParameter(tag, value, offset); err != nil {
			return err
		}
		hasProtocolData = hasProtocolData || tag == tagProtocolData
		offset += (length + 3) &^ 3 // tolerates missing padding after the last parameter
	}
	switch m.Kind {
	case DATA:
		if !hasProtocolData {
			return &Error{ErrMissingParameter, HeaderLen, "DATA without Protocol Data"}
		}
	case DUNA, DAVA, DAUD, SCON, DRST:
		if len(m.Affected) == 0 {
			return &Error{ErrMissingParameter, HeaderLen, m.Kind.String() + " without Affected Point Code"}
		}
	}
	return nil
}

func (m *Message) decodeParameter(tag uint16, value []byte, offset int) error {
	word := func() (uint32, error) {
		if len(value) < 4 {
			return 0, &Error{ErrParameterFieldError, offset, fmt.Sprintf("parameter %#04x is too short: %d octets", tag, len(value))}
		}
		return binary.BigEndian.Uint32(value), nil
	}
	var err error
	switch tag {
	case tagRoutingContext:
		m.HasRoutingContext = true
		m.RoutingContext, err = word()
	case tagTrafficModeType:
		m.TrafficMode, err = word()
	case tagASPIdentifier:
		m.HasASPID = true
		m.ASPID, err = word()
	case tagErrorCode:
		m.ErrorCode, err = word()
	case tagCongestionIndications:
		var w uint32
		w, err = word()
		m.CongestionLevel = byte(w & 3)
	case tagStatus:
		var w uint32
		w, err = word()
		m.StatusType, m.StatusInfo = uint16(w>>16), uint16(w)
	case tagHeartbeatData:
		m.Heartbeat = value
	case tagInfoString:
		m.InfoString = value
	case tagAffectedPointCode:
		if len(value)%4 != 0 {
			return &Error{ErrParameterFieldError, offset, "length of Affected Point Code is not a multiple of 4"}
		}
		for ; len(value) > 0; value = value[4:] {
			w := binary.BigEndian.Uint32(value)
			m.Affected = append(m.Affected, Affected{byte(w >> 24), w & 0xffffff})
		}
	case tagProtocolData:
		if len(value) < 12 {
			return &Error{ErrParameterFieldError, offset, "Protocol Data shorter than the routing label"}
		}
		m.Data = ProtocolData{binary.BigEndian.Uint32(value), binary.BigEndian.Uint32(value[4:]), value[8], value[9], value[10], value[11], value[12:]}
	}
	return err
}

// Append appends m, encoded as one frame, to dst.
func Append(dst []byte, m *Message) []byte {
	start := len(dst)
	dst = append(dst, Version, 0, byte(m.Kind>>8), byte(m.Kind), 0, 0, 0, 0)
	if m.Kind == ERR {
		dst = appendWord(dst, tagErrorCode, m.ErrorCode)
	}
	if m.Kind == NTFY {
		dst = appendWord(dst, tagStatus, uint32(m.StatusType)<<16|uint32(m.StatusInfo))
	}
	if m.HasASPID {
		dst = appendWord(dst, tagASPIdentifier, m.ASPID)
	}
	if m.TrafficMode != 0 {
		dst = appendWord(dst, tagTrafficModeType, m.TrafficMode)
	}
	if m.HasRoutingContext {
		dst = appendWord(dst, tagRoutingContext, m.RoutingContext)
	}
	if len(m.Affected) > 0 {
		dst = append(dst, tagAffectedPointCode>>8, tagAffectedPointCode&0xff, 0, 0)
		binary.BigEndian.PutUint16(dst[len(dst)-2:], uint16(4+4*len(m.Affected)))
		for _, a := range m.Affected {
			dst = binary.BigEndian.AppendUint32(dst, uint32(a.Mask)<<24|a.PC&0xffffff)
		}
	}
	if m.Kind == SCON {
		dst = appendWord(dst, tagCongestionIndications, uint32(m.CongestionLevel))
	}
	if len(m.Heartbeat) > 0 {
		dst = appendTLV(dst, tagHeartbeatData, m.Heartbeat)
	}
	if len(m.InfoString) > 0 {
		dst = appendTLV(dst, tagInfoString, m.InfoString)
	}
	if m.Kind == DATA {
		data := &m.Data
		dst = append(dst, tagProtocolData>>8, tagProtocolData&0xff, 0, 0)
		binary.BigEndian.PutUint16(dst[len(dst)-2:], uint16(16+len(data.User)))
		dst = binary.BigEndian.AppendUint32(dst, data.OPC)
		dst = binary.BigEndian.AppendUint32(dst, data.DPC)
		dst = append(dst, data.SI, data.NI, data.MP, data.SLS)
		dst = pad(append(dst, data.User...), len(data.User))
	}
	binary.BigEndian.PutUint32(dst[start+4:], uint32(len(dst)-start))
	return dst
}

func appendWord(dst []byte, tag uint16, value uint32) []byte {
	dst = append(dst, byte(tag>>8), byte(tag), 0, 8)
	return binary.BigEndian.AppendUint32(dst, value)
}

func appendTLV(dst []byte, tag uint16, value []byte) []byte {
	dst = append(dst, byte(tag>>8), byte(tag), byte((len(value)+4)>>8), byte(len(value)+4))
	return pad(append(dst, value...), len(value))
}

// pad appends zeros to a parameter value of the given length up to a multiple of 4 octets (RFC 4666, 3.2).
func pad(dst []byte, length int) []byte {
	for ; length%4 != 0; length++ {
		dst = append(dst, 0)
	}
	return dst
}
