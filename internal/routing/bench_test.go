package routing

import (
	"fmt"
	"testing"
)

func BenchmarkAuthenticate(b *testing.B) {
	customers := make([]Customer, 16)
	for i := range customers {
		customers[i] = Customer{Name: fmt.Sprint("customer-", i), Keys: []string{fmt.Sprintf("sk-%02d-0123456789abcdef0123456789abcdef", i)}}
	}
	table, err := NewTable(withCustomers(customers...))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.Authenticate("sk-07-0123456789abcdef0123456789abcdef"); !ok {
			b.Fatal("the key is unknown")
		}
	}
}
