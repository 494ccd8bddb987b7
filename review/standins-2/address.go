package main

import (
	"fmt"
	"net"
	"os"
)

// loopback is the loopback address on which this play listens. It has one of its own, where the machine has more
// than one, so that no connection of another process takes a port that a stand-in has freed.
var loopback = ownLoopback()

func ownLoopback() string {
	pid := os.Getpid()
	own := fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, 1+pid%250)
	listener, err := net.Listen("tcp", own+":0")
	if err != nil {
		return "127.0.0.1"
	}
	listener.Close()
	return own
}

// listen opens a listener on a free port of the play's address.
func listen() (net.Listener, error) { return net.Listen("tcp", loopback+":0") }

// freeAddress returns an address with a free port.
func freeAddress() (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
