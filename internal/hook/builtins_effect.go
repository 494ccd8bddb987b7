package hook

import (
	"errors"
	"time"
)

// maxEffects is how many effects a run may request.
const maxEffects = 64

// errRefused ends a run that has refused its request. The run is successful.
var errRefused = errors.New("refused")

func runSetHeader(m *Machine, operands []value, _ kind) error {
	return m.request(Effect{Kind: SetHeader, Name: operands[0].text, Text: operands[1].text})
}

func runRemoveHeader(m *Machine, operands []value, _ kind) error {
	return m.request(Effect{Kind: RemoveHeader, Name: operands[0].text})
}

func runTag(m *Machine, operands []value, _ kind) error {
	return m.request(Effect{Kind: Tag, Text: operands[0].text})
}

func runSetTenant(m *Machine, operands []value, _ kind) error {
	return m.request(Effect{Kind: SetTenant, Text: operands[0].text})
}

func runCount(m *Machine, operands []value, _ kind) error {
	return m.request(Effect{Kind: Count, Name: operands[0].text})
}

func runLabel(m *Machine, operands []value, _ kind) error {
	return m.request(Effect{Kind: Label, Name: operands[0].text, Text: operands[1].text})
}

func runRefuse(m *Machine, operands []value, _ kind) error {
	refusal := Effect{Kind: Refuse, Text: operands[0].text, Pause: time.Duration(operands[1].number)}
	if err := m.request(refusal); err != nil {
		return err
	}
	return errRefused
}

// request adds an effect to those of the run.
func (m *Machine) request(effect Effect) error {
	if len(m.effects) >= maxEffects {
		return ErrEffects
	}
	if !m.spend(sizeCost(len(effect.Name) + len(effect.Text))) {
		return ErrFuel
	}
	m.effects = append(m.effects, effect)
	return nil
}
