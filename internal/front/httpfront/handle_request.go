package httpfront

import (
	"log/slog"
	"net/http"
	"time"

	"mothridge/internal/core"
)

// readinessPath is the URL path of the readiness check.
const readinessPath = "/health/ready"

// responseWriteGrace is how long after a request's deadline its response may still be written.
const responseWriteGrace = time.Second

// ServeHTTP serves one request and blocks until the response has been written. net/http calls it on
// the goroutine of the connection. ServeHTTP panics with http.ErrAbortHandler if the connection must
// be closed without a response.
func (front *Front) ServeHTTP(writer http.ResponseWriter, httpRequest *http.Request) {
	conn := clientConnOf(httpRequest)
	if err := checkFraming(httpRequest, conn.framing.NextHead()); err != nil {
		front.rejectInvalid(writer, httpRequest, err)
	}
	if httpRequest.URL.Path == readinessPath {
		front.serveReadiness(writer, conn)
		return
	}
	request, err := front.readRequest(httpRequest, conn)
	if err != nil {
		front.rejectInvalid(writer, httpRequest, err)
	}
	if !conn.beginRequest() { // the connection was closed as idle, so the client sends the request again
		panic(http.ErrAbortHandler)
	}
	response := front.awaitResponse(httpRequest, conn, request)
	front.recordClosedUnanswered(conn, request.ID)
	// A client that has not read the response by responseWriteGrace after the deadline no longer waits for
	// the response, so the write must not block longer.
	_ = http.NewResponseController(writer).SetWriteDeadline(request.Deadline.Add(responseWriteGrace))
	front.writeResponse(writer, response, conn)
	front.lateResponses.Written(time.Now(), request.Deadline, request.ID, response.Result, conn.LocalAddr())
}

func (front *Front) serveReadiness(writer http.ResponseWriter, conn *clientConn) {
	conn.finishReading()
	status := http.StatusOK
	if !front.handler.Ready() || front.listener.isDraining() {
		status = http.StatusServiceUnavailable
	}
	writer.WriteHeader(status)
}

// awaitResponse submits a request and blocks until the handler responds. If the client disconnects
// before that, awaitResponse abandons the request and panics with http.ErrAbortHandler.
func (front *Front) awaitResponse(httpRequest *http.Request, conn *clientConn, request *core.Request) core.Response {
	responses := make(chan core.Response, 1) // buffered, because Respond must not block
	request.Respond = func(response core.Response) { responses <- response }
	request.ClientDisconnected = conn.hasClientDisconnected
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

// recordClosedUnanswered counts and logs a request as unanswered if this process closed its connection
// before the response was written, which must never happen.
func (front *Front) recordClosedUnanswered(conn *clientConn, requestID string) {
	if conn.isClosed() && !conn.peerClosed.Load() {
		front.closedUnanswered.Add(1)
		slog.Error("invariant violated", "rule", "closed_unanswered", "request", requestID)
	}
}
