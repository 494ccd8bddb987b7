package quotas

import (
	"encoding/json"
	"testing"

	"mothridge/quota"
)

// TestNodeViewJSON guards against changes of the JSON on the admin socket, which other
// versions of the quota command read: it must stay the same byte for byte.
func TestNodeViewJSON(t *testing.T) {
	view := NodeView{
		Name: "club", Parent: "service", Depth: 1,
		Usage:     quota.Usage{WithinShare: 1, Borrowed: 2, Rejected: 3, Lent: 4, Repaid: 5},
		Limits:    []LimitView{{Dimension: "requests", Rate: 10, Ceiling: 20, Window: "10s", Tokens: 4.5}},
		Debts:     []DebtView{{To: "downs", Dimension: "requests", Amount: 2}},
		Rejection: "nothing", SecondsSinceRejection: 1.5,
	}
	const want = `{"Name":"club","Parent":"service","Depth":1,"Usage":{"Own":1,"Borrowed":2,"Refused":3,"Lent":4,"Repaid":5},` +
		`"Limits":[{"Dimension":"requests","Rate":10,"Ceiling":20,"Window":"10s","Left":4.5}],"Owes":[{"To":"downs","Dimension":"requests","Amount":2}],` +
		`"Refusal":"nothing","RefusedAgo":1.5}`
	if got, err := json.Marshal(view); err != nil || string(got) != want {
		t.Errorf("got JSON %s, error %v, want %s", got, err, want)
	}
}
