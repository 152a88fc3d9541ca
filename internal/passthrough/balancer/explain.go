package balancer

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"bergamotstall/internal/passthrough/forward"
	"bergamotstall/internal/passthrough/packet"
)

// ExplainPath is the path, beside the metrics, at which a balancer answers where a new flow
// would go. The query names the flow: "service" and "client", each "ip:port". The answer is a
// forward.Explanation as JSON.
const ExplainPath = "/debug/explain"

func (b *Balancer) explain(w http.ResponseWriter, r *http.Request) {
	service, err := netip.ParseAddrPort(r.FormValue("service"))
	client, clientErr := netip.ParseAddrPort(r.FormValue("client"))
	if err != nil || clientErr != nil || !service.Addr().Is4() || !client.Addr().Is4() {
		http.Error(w, "service and client must be IPv4 addresses with ports", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_ = json.NewEncoder(w).Encode(b.explainFlow(packet.Flow{Client: packet.EndpointOf(client), Service: packet.EndpointOf(service)}))
}

func (b *Balancer) explainFlow(f packet.Flow) forward.Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.engine.Explain(b.now(), f)
}
