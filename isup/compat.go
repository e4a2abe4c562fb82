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
	insTransit   = 0x01 // interpreted by end exchanges only
	insRelease   = 0x02
	insNotify    = 0x04
	insDiscard   = 0x08 // the message
	insParameter = 0x10 // the parameter
)

// CheckUnknown acts on the optional parameters that this package does not interpret as their compatibility information says:
// some are dropped from m, or the whole message or call must be. A parameter without instructions is passed on as it
// is, so that what the two ends agree on crosses this exchange (Q.764, 2.9.5.3.2). transit: the message is on its way
// through, where an instruction for end exchanges only does not count.
func CheckUnknown(m *Message, transit bool) CompatAction {
	if len(m.Compat) == 0 || len(m.Optional) == 0 {
		return Accept
	}
	kept, verdict := m.Optional[:0], Accept
	for _, o := range m.Optional {
		ins, found := instruction(m.Compat, o.Code)
		if !found || transit && ins&insTransit != 0 {
			kept = append(kept, o)
			continue
		}
		switch {
		case ins&insRelease != 0:
			verdict = ReleaseCall
		case ins&insDiscard != 0:
			verdict = max(verdict, Discard)
		}
		if ins&insParameter == 0 {
			kept = append(kept, o)
		}
	}
	m.Optional = kept
	return verdict
}

// instruction finds the instruction indicators of a parameter: a list of pairs, each with octets until one has its
// extension bit set (Q.763, 3.41).
func instruction(compat []byte, code byte) (byte, bool) {
	for i := 0; i+1 < len(compat); {
		upgraded := compat[i]
		first := compat[i+1]
		i++
		for i < len(compat) && compat[i]&0x80 == 0 {
			i++
		}
		i++
		if upgraded == code {
			return first, true
		}
	}
	return 0, false
}
