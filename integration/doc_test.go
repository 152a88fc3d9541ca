package integration

import (
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	_ "github.com/matryer/is"
	_ "pgregory.net/rapid"
)

func TestX(t *testing.T) { _ = toxiproxy.NewServer }
