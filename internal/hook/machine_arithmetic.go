package hook

import (
	"math"
	"strings"
)

// arithmetic executes an arithmetic or logical instruction that integerArithmetic does not support.
func (m *Machine) arithmetic(op opcode) error {
	switch op {
	case opAddFloat, opSubFloat, opMulFloat, opDivFloat:
		left, right := m.topTwo()
		left.number = floatBits(floatResult(op, left.float(), right.float()))
		m.drop(1)
	case opNot:
		m.top().number = 1 - m.top().number
	case opNegInt:
		result, err := integerResult(opSubInt, 0, m.top().number)
		m.top().number = result
		return err
	case opNegFloat:
		m.top().number = floatBits(-m.top().float())
	case opDivDurations:
		return m.divideDurations()
	case opAddText:
		return m.concatenate()
	default:
		panic("unknown instruction")
	}
	return nil
}

// integerArithmetic executes an instruction on two ints, durations or times.
func (m *Machine) integerArithmetic(op opcode) error {
	left, right := m.topTwo()
	result, err := integerResult(op, left.number, right.number)
	left.number = result
	m.drop(1)
	return err
}

// integerResult returns the result of an operation on ints, durations or times. It returns an error if
// the operation overflows or divides by zero.
func integerResult(op opcode, left, right int64) (int64, error) {
	switch op {
	case opAddInt:
		if sum := left + right; (sum > left) == (right > 0) {
			return sum, nil
		}
	case opSubInt:
		if difference := left - right; (difference < left) == (right > 0) {
			return difference, nil
		}
	case opMulInt:
		if product := left * right; !productOverflows(left, right, product) {
			return product, nil
		}
	default:
		return integerQuotient(op, left, right)
	}
	return 0, errOverflow()
}

func errOverflow() error { return valueError("a number too large") }

// productOverflows reports whether the multiplication that gave product has overflowed.
func productOverflows(left, right, product int64) bool {
	if left == 0 || right == 0 {
		return false
	}
	// The least int has no positive counterpart. The division below cannot detect this overflow, because
	// dividing by -1 overflows too.
	if left == -1 {
		return right == math.MinInt64
	}
	if right == -1 {
		return left == math.MinInt64
	}
	return product/right != left
}

// integerQuotient returns the quotient for opDivInt, and the remainder for opModInt. It returns an error if
// the division overflows or right is 0.
func integerQuotient(op opcode, left, right int64) (int64, error) {
	switch {
	case right == 0:
		return 0, errDivisionByZero()
	case op == opModInt && right == -1:
		return 0, nil
	case op == opModInt:
		return left % right, nil
	case right == -1 && left == math.MinInt64:
		return 0, errOverflow()
	default:
		return left / right, nil
	}
}

func errDivisionByZero() error { return valueError("a division by zero") }

func floatResult(op opcode, left, right float64) float64 {
	switch op {
	case opAddFloat:
		return left + right
	case opSubFloat:
		return left - right
	case opMulFloat:
		return left * right
	default:
		return left / right
	}
}

// divideDurations divides two durations. The result is a float.
func (m *Machine) divideDurations() error {
	left, right := m.topTwo()
	if right.number == 0 {
		return errDivisionByZero()
	}
	left.number = floatBits(float64(left.number) / float64(right.number))
	m.drop(1)
	return nil
}

// concatenate concatenates two texts.
func (m *Machine) concatenate() error {
	left, right := m.topTwo()
	if err := m.allocate(textOverhead + len(left.text) + len(right.text)); err != nil {
		return err
	}
	left.text += right.text
	m.drop(1)
	return nil
}

// compare executes a comparison of the two values on top of the stack.
func (m *Machine) compare(op opcode, operator comparison) error {
	left, right := m.topTwo()
	var result bool
	switch op {
	case opCompareInt:
		result = compareOrdered(operator, left.number, right.number)
	case opCompareFloat:
		result = compareOrdered(operator, left.float(), right.float())
	default:
		if !m.spend(sizeCost(min(len(left.text), len(right.text)))) {
			return ErrFuel
		}
		result = compareOrdered(operator, strings.Compare(left.text, right.text), 0)
	}
	m.replaceTwoByBool(result)
	return nil
}

// compareOrdered compares two numbers. If one is NaN, compareNotEqual is true and all other comparisons
// are false.
func compareOrdered[T int | int64 | float64](operator comparison, left, right T) bool {
	switch operator {
	case compareEqual:
		return left == right
	case compareNotEqual:
		return left != right
	case compareLess:
		return left < right
	case compareLessOrEqual:
		return left <= right
	case compareGreater:
		return left > right
	default:
		return left >= right
	}
}
