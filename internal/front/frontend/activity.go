package frontend

// activity is something that a client's flow may have to wait for.
type activity int

const (
	handleMessage   activity = iota // a request, or another message of a protocol
	read                            // a read from a socket, so that clients that write few bytes at a time are paced too
	readAhead                       // a read of what a client sends behind a request that is being served
	admitConnection                 // a new connection
	dropConnection                  // a new connection whose client has left before it was accepted
	activityCount
)

// activityCosts are the costs of the activities, in messages.
var activityCosts = [activityCount]float64{
	handleMessage:   1,
	read:            0.1,
	readAhead:       0.5,
	admitConnection: 4,
	dropConnection:  0.1,
}

// activityNames are the names of the activities in logs and metrics.
var activityNames = [activityCount]string{
	handleMessage:   "message",
	read:            "read",
	readAhead:       "read_ahead",
	admitConnection: "connection",
	dropConnection:  "abandoned_connection",
}

// String implements fmt.Stringer.
func (a activity) String() string { return activityNames[a] }

// uselessPenalty is what a message that cannot be served counts in addition, in messages, so that a client that sends sound requests
// on one connection gets most of what is left beside clients that send others.
const uselessPenalty = 7
