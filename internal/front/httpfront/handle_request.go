package httpfront

import (
	"log/slog"
	"net/http"
	"time"

	"mothridge/internal/core"
)

// readinessPath is the path of the readiness check.
const readinessPath = "/health/ready"

// responseWriteGrace is added to a request's deadline: until then its response may be written.
const responseWriteGrace = time.Second

// ServeHTTP serves one request. net/http calls it on the goroutine of the connection;
// it blocks until the response has been written. It panics with http.ErrAbortHandler
// where the connection has to end without a response.
func (front *Front) ServeHTTP(writer http.ResponseWriter, httpRequest *http.Request) {
	conn := clientConnOf(httpRequest)
	if err := checkFraming(httpRequest, conn.framing.NextHead()); err != nil {
		front.rejectInvalid(writer, httpRequest, err)
		return
	}
	if httpRequest.URL.Path == readinessPath {
		front.serveReadiness(writer, conn)
		return
	}
	request, err := front.readRequest(httpRequest, conn)
	if err != nil {
		front.rejectInvalid(writer, httpRequest, err)
		return
	}
	if !conn.beginRequest() { // closed as idle: the client sends the request again
		panic(http.ErrAbortHandler)
	}
	response := front.awaitResponse(httpRequest, conn, request)
	front.checkStillOpen(conn, request.ID)
	// The client has given up by then: its response is not held for it.
	_ = http.NewResponseController(writer).SetWriteDeadline(request.Deadline.Add(responseWriteGrace))
	front.writeResponse(writer, response, conn)
}

func (front *Front) serveReadiness(writer http.ResponseWriter, conn *clientConn) {
	conn.finishReading()
	status := http.StatusOK
	if !front.handler.Ready() || front.listener.isDraining() {
		status = http.StatusServiceUnavailable
	}
	writer.WriteHeader(status)
}

// awaitResponse submits a request and blocks until its response. Where the client
// disconnects before, it abandons the request and panics with http.ErrAbortHandler.
func (front *Front) awaitResponse(httpRequest *http.Request, conn *clientConn, request *core.Request) core.Response {
	responses := make(chan core.Response, 1) // Respond must not block
	request.Respond = func(response core.Response) { responses <- response }
	request.ClientGone = conn.hasClientDisconnected
	front.submitted.Add(1)
	front.handler.Submit(request)
	select {
	case response := <-responses:
		return response
	case <-httpRequest.Context().Done():
		front.disconnects.Add(1)
		front.handler.Abandon(request)
		panic(http.ErrAbortHandler)
	}
}

// checkStillOpen counts and logs a connection that was closed here before the response
// to its request.
func (front *Front) checkStillOpen(conn *clientConn, requestID string) {
	if conn.isClosed() && !conn.peerClosed.Load() {
		front.closedUnanswered.Add(1)
		slog.Error("a rule was broken", "rule", "closed_unanswered", "request", requestID)
	}
}
