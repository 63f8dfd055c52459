"""Figures of Beics Caerdydd, as the users' pages give them: BRIEF-amberpin.md, and kit/lean/LATER.md with
kit/next/LATER.md. Machines boot within two seconds here, which the protocol allows, to save time."""

TAFF_BOX = {"name": "taff-box", "vcpus": 48.0, "accelerators": 8.0, "ram_gb": 288.0, "local_gb": 800.0,
            "fetch_gb_per_s": 1.7, "hourly": 21.55, "market_price": 7.41, "boot_s": 50.0,
            "yards": ["butetown", "llanishen"]}

# The first version: "3 controllers in all, each with 6.4% of a core, 40 MB and 500 sockets".
BRIEF = {
    "nodes": 3, "zones": ["butetown", "llanishen"], "back_s": 6.0, "boot_s": 1.5, "hulls": [TAFF_BOX],
    "teams": [("rider-care", 40, 80), ("van-crews", 64, 136), ("iaith", 64, 200), ("fleet-repair", 32, 250),
              ("pricing", 32, 64), ("city-links", 80, 200)],
    "objectives": [("rider-help", 40), ("placename-tune", 25)],
    "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 35.0, "gang_peer_s": 6.0, "cancel_s": 35.0},
    "state": {"rps": 200.0, "write_rps": 25.0, "value_kb": 16.0, "txn_ops": 20},
    "cloud": {"rps": 8.0, "list_lag_s": 5.0},
    "quota": {"cores": 0.064, "memory_mb": 40.0, "fd_limit": 500},
}

# The smaller machines: "5 controllers in all, each with 1.9% of a core, 27 MB and 500 sockets. All else is as on the
# page on which the deployment grew."
LEAN = dict(
    BRIEF, nodes=5,
    teams=[("rider-care", 120, 250), ("van-crews", 180, 400), ("iaith", 200, 600), ("fleet-repair", 90, 700),
           ("pricing", 100, 200), ("city-links", 250, 600)],
    quota={"cores": 0.019, "memory_mb": 27.0, "fd_limit": 500})


def job(ref, berth, crew, shape, rank, legs, vcpus, accelerators, ram_gb, size_gb=0.5, reckon_s=0.0, **more):
    """A submission."""
    return dict({"ref": ref, "berth": berth, "crew": crew, "shape": shape, "rank": rank, "legs": legs,
                 "vcpus": float(vcpus), "accelerators": float(accelerators), "ram_gb": float(ram_gb),
                 "cask": "img-" + berth, "size_gb": float(size_gb), "hulls": None, "yard": None,
                 "one_zone": False, "scatter": False, "driftwood": False, "reckon_s": float(reckon_s),
                 "mark_s": 0.0, "stow_s": 0.0, "due_s": None}, **more)
