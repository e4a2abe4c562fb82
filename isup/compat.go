package isup

// CompatAction is the action required for a message with unrecognised parameters (Q.764, 2.9.5).
type CompatAction uint8

// The actions.
const (
	Accept      CompatAction = iota
	Discard                  // discard the message
	ReleaseCall              // release the call with cause 99
)

// Bits of an instruction indicator (Q.763, 3.40 and 3.41).
const (
	instructionEndNodeOnly      = 0x01 // for end exchanges only
	instructionReleaseCall      = 0x02
	instructionSendNotification = 0x04
	instructionDiscardMessage   = 0x08
	instructionDiscardParameter = 0x10
)

// CheckUnknown applies the parameter compatibility information to the optional parameters that this package does not
// interpret. It removes parameters that must be discarded from m, and returns the action for the whole message. A parameter
// without instructions stays in m unchanged, so that parameters known only to the two ends cross this exchange (Q.764,
// 2.9.5.3.2). If transit is set, this exchange is not an end of the call: instructions for end exchanges do not apply.
func CheckUnknown(m *Message, transit bool) CompatAction {
	if len(m.Compat) == 0 || len(m.Optional) == 0 {
		return Accept
	}
	remaining, action := m.Optional[:0], Accept
	for _, parameter := range m.Optional {
		indicators, found := findInstruction(m.Compat, parameter.Code)
		if !found || transit && indicators&instructionEndNodeOnly != 0 {
			remaining = append(remaining, parameter)
			continue
		}
		switch {
		case indicators&instructionReleaseCall != 0:
			action = ReleaseCall
		case indicators&instructionDiscardMessage != 0:
			action = max(action, Discard)
		}
		if indicators&instructionDiscardParameter == 0 {
			remaining = append(remaining, parameter)
		}
	}
	m.Optional = remaining
	return action
}

// findInstruction returns the first octet of instruction indicators for a parameter code. compat is a list of entries: an
// upgraded parameter code, then octets of indicators up to and including one with its extension bit set (Q.763, 3.41).
func findInstruction(compat []byte, code byte) (byte, bool) {
	for i := 0; i+1 < len(compat); {
		upgraded := compat[i]
		indicators := compat[i+1]
		i++
		for i < len(compat) && compat[i]&0x80 == 0 {
			i++
		}
		i++
		if upgraded == code {
			return indicators, true
		}
	}
	return 0, false
}
