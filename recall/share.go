package recall

const (
	// recallShare is the share of the requests to a service that a node recalls at most.
	// By an estimate from the logs of two fleets, the rule calls for one in 62 to 91; see
	// docs/design/recall.md.
	recallShare = 0.05
	// maxRecallCredit is the number of recalls that a node may make in succession. In any
	// period with n requests, it makes at most recallShare x n + maxRecallCredit recalls.
	maxRecallCredit = 2
)

// share bounds the recalls to a share of the requests. It needs no time: each request
// earns a part of a recall.
type share struct{ credit float64 }

func (s *share) countRequest() { s.credit = min(s.credit+recallShare, maxRecallCredit) }

func (s *share) available() (ok bool) { return s.credit >= 1 }

func (s *share) take() { s.credit-- }
