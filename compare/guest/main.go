// Guest is the apiary rule as a WebAssembly module. The host writes class and
// apiary into its buffer; rule says whether the request is tagged.
package main

import "unsafe"

var buffer [256]byte

//go:wasmexport buffer
func address() uint32 { return uint32(uintptr(unsafe.Pointer(&buffer))) }

//go:wasmexport rule
func rule(class, apiary uint32) uint32 {
	const ridge = "ridge-"
	b := buffer[:]
	if string(b[:class]) == "weight-reading" && apiary >= uint32(len(ridge)) && string(b[class:class+uint32(len(ridge))]) == ridge {
		return 1
	}
	return 0
}

func main() {}
