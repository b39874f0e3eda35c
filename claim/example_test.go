package claim_test

import (
	"context"
	"fmt"

	"github.com/guavagauge/guavagauge/claim"
	"github.com/guavagauge/guavagauge/storetest"
)

func ExampleClaims_Claim() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := storetest.New(storetest.Options{}).Client("node-a")
	claims := claim.New(ctx, client, claim.Options{})
	for range 2 {
		result, err := claims.Claim(ctx, claim.Request{Key: "alpha/entries/42"})
		if err != nil {
			fmt.Println("must not run:", err)
			return
		}
		switch result := result.(type) {
		case claim.Granted:
			fmt.Println("run")
			result.Claim.Finish(ctx, []byte("201 Created"))
		case claim.InProgress:
			fmt.Println("in progress")
		case claim.Done:
			fmt.Println("ran before:", string(result.Record))
		case claim.Unknown:
			fmt.Println("outcome unknown")
		}
	}
	// Output:
	// run
	// ran before: 201 Created
}
