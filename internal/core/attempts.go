package core

import "context"

type attempt struct {
	req    *Request
	number int
	server string
	ctx    context.Context // ends when the attempt is given up
	cancel context.CancelFunc
}
