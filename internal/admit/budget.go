package admit

// The shares of extra requests that the entry may cause.
const (
	// RetryShare is the share of retries among the requests.
	RetryShare = 0.10
	// HedgeShare is the share of hedges among the requests.
	HedgeShare = 0.05
	// budgetBurst is the number of extra requests that may be saved up.
	budgetBurst = 20
)

// Budget is a token bucket that is filled by requests: each request adds a
// share of one extra request.
type Budget struct {
	share  float64
	tokens float64
}

// NewBudget returns a full budget with the given share.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, tokens: budgetBurst}
}

// Earn adds the share of one request.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.share, budgetBurst) }

// Spend takes one extra request out and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
