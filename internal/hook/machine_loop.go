package hook

// loop executes instructions until the hook returns or an instruction fails. Each case is one
// instruction, or a group of instructions that one method executes.
func (m *Machine) loop() error {
	current := &m.frames[len(m.frames)-1]
	for {
		if m.fuel--; m.fuel < 0 {
			return ErrFuel
		}
		i := &current.code.instructions[current.next]
		current.next++
		var err error
		switch i.op {
		case opConst:
			*m.pushSlot() = m.program.constants[i.a]
		case opLoad:
			*m.pushSlot() = m.stack[current.base+int(i.a)]
		case opStore:
			m.popInto(current.base + int(i.a))
		case opTextField, opNumberField:
			m.pushField(i.op, i.a)
		case opPop:
			m.drop(1)
		case opJump:
			current.next = int(i.a)
		case opJumpIfFalse, opJumpIfFalseOrPop, opJumpIfTrueOrPop:
			if m.shouldJump(i.op) {
				current.next = int(i.a)
			}
		case opCall:
			err = m.enter(int(i.a))
			current = &m.frames[len(m.frames)-1]
		case opReturn, opReturnValue:
			if m.leave(i.op == opReturnValue) {
				return nil
			}
			current = &m.frames[len(m.frames)-1]
		case opBuiltin:
			err = m.callBuiltin(int(i.a), kind(i.b))
		case opAddInt, opSubInt, opMulInt, opDivInt, opModInt:
			err = m.integerArithmetic(i.op)
		case opCompareInt, opCompareFloat, opCompareText:
			err = m.compare(i.op, comparison(i.a))
		case opRangeTest, opIncrement, opListNext:
			m.iterate(i.op, m.stack[current.base+int(i.a):])
		default:
			err = m.executeRare(i)
		}
		if err != nil {
			return err
		}
	}
}

// executeRare executes an instruction that is rare, or whose cost is high compared with a second switch.
func (m *Machine) executeRare(i *instruction) error {
	switch i.op {
	case opCounterValue, opEntryValue, opCounterAdd, opEntryAdd, opEntryForget:
		return m.accessState(i.op, int(i.a))
	case opInText, opInMap, opInList, opListGet, opMapGet, opListSet, opMapSet, opNewList, opNewMap:
		return m.collection(i)
	default:
		return m.arithmetic(i.op)
	}
}
