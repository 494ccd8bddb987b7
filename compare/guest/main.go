// Guest is the rule of package compare as a WebAssembly module. The host writes the
// request's class, followed by its apiary, into the buffer and calls rule with their lengths.
package main

import "unsafe"

var buffer [256]byte

// bufferAddress returns the address of the buffer in the module's memory.
//
//go:wasmexport buffer
func bufferAddress() uint32 { return uint32(uintptr(unsafe.Pointer(&buffer))) }

// rule returns 1 if the request is tagged, else 0. The arguments are lengths in bytes.
//
//go:wasmexport rule
func rule(classLength, apiaryLength uint32) uint32 {
	const prefix = "ridge-"
	text := buffer[:]
	if string(text[:classLength]) == "weight-reading" && apiaryLength >= uint32(len(prefix)) &&
		string(text[classLength:classLength+uint32(len(prefix))]) == prefix {
		return 1
	}
	return 0
}

func main() {}
