package isup

// CompatAction is what is done about a message with unknown parts (Q.764, 2.9.5).
type CompatAction uint8

// The verdicts.
const (
	Accept      CompatAction = iota
	Discard                  // the message is dropped
	ReleaseCall              // the call is released, cause 99
)

// Bits of an instruction indicator (Q.763, 3.40 and 3.41).
const (
	instructionEndNodeOnly      = 0x01 // interpreted by end exchanges only
	instructionReleaseCall      = 0x02
	instructionSendNotification = 0x04
	instructionDiscardMessage   = 0x08 // the message
	instructionDiscardParameter = 0x10 // the parameter
)

// CheckUnknown acts on the optional parameters that this package does not interpret as their compatibility information says:
// some are dropped from m, or the whole message or call must be. A parameter without instructions is passed on as it
// is, so that what the two ends agree on crosses this exchange (Q.764, 2.9.5.3.2). transit: the message is on its way
// through, where an instruction for end exchanges only does not count.
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

// instruction finds the instruction indicators of a parameter: a list of pairs, each with octets until one has its
// extension bit set (Q.763, 3.41).
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
