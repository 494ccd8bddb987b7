package hook

import (
	"errors"
	"time"
)

// maxEffects is the maximum number of effects of a run.
const maxEffects = 64

// errRefused ends a run that has called refuse. The run is successful.
var errRefused = errors.New("refused")

func runSetHeader(m *Machine, operands []value, _ kind) error {
	return m.addEffect(Effect{Kind: SetHeader, Name: operands[0].text, Text: operands[1].text})
}

func runRemoveHeader(m *Machine, operands []value, _ kind) error {
	return m.addEffect(Effect{Kind: RemoveHeader, Name: operands[0].text})
}

func runTag(m *Machine, operands []value, _ kind) error {
	return m.addEffect(Effect{Kind: Tag, Text: operands[0].text})
}

func runSetTenant(m *Machine, operands []value, _ kind) error {
	return m.addEffect(Effect{Kind: SetTenant, Text: operands[0].text})
}

func runCount(m *Machine, operands []value, _ kind) error {
	return m.addEffect(Effect{Kind: Count, Name: operands[0].text})
}

func runLabel(m *Machine, operands []value, _ kind) error {
	return m.addEffect(Effect{Kind: Label, Name: operands[0].text, Text: operands[1].text})
}

func runRefuse(m *Machine, operands []value, _ kind) error {
	refusal := Effect{Kind: Refuse, Text: operands[0].text, RetryAfter: time.Duration(operands[1].number)}
	if err := m.addEffect(refusal); err != nil {
		return err
	}
	return errRefused
}

// addEffect adds an effect to the effects of the run. It returns ErrEffects if there are maxEffects already.
func (m *Machine) addEffect(effect Effect) error {
	if len(m.effects) >= maxEffects {
		return ErrEffects
	}
	if !m.spend(sizeCost(len(effect.Name) + len(effect.Text))) {
		return ErrFuel
	}
	m.effects = append(m.effects, effect)
	return nil
}
