package org.mimosahinge.daemon.control;

import io.netty.channel.Channel;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosahinge.net.frame.Frame;

/** The control connections of this node. */
final class ControlLinks {

    private final Map<Channel, ControlLink> byChannel = new HashMap<>();
    private ControlLink parent;

    void add(Channel channel, ControlLink link) {
        byChannel.put(channel, link);
        if (link.direction() == ControlLink.Direction.PARENT) {
            parent = link;
        }
    }

    Optional<ControlLink> remove(Channel channel) {
        ControlLink link = byChannel.remove(channel);
        if (link != null && link == parent) {
            parent = null;
        }
        return Optional.ofNullable(link);
    }

    Optional<ControlLink> find(Channel channel) {
        return Optional.ofNullable(byChannel.get(channel));
    }

    Optional<ControlLink> parent() {
        return Optional.ofNullable(parent);
    }

    List<ControlLink> children() {
        return byChannel.values().stream()
                .filter(link -> link.direction() == ControlLink.Direction.CHILD)
                .toList();
    }

    Collection<ControlLink> all() {
        return List.copyOf(byChannel.values());
    }

    /** Sends a frame to all neighbours except the one that it came from. */
    void broadcast(Frame frame, ControlLink excluded) {
        all().stream().filter(link -> link != excluded).forEach(link -> link.send(frame));
    }
}
